#pragma once

#include <string>
#include <variant>
#include <vector>

#include "dispatch/message_type.h"

namespace poplarfork::dispatch {

struct SendGrant {
  base::DaemonId to;
  Grant grant;
};

struct SendQueuedNotice {
  base::DaemonId to;
  QueuedNotice notice;
};

struct SendRefusal {
  base::DaemonId to;
  Refusal refusal;
};

// Why an upstream is probed.
enum class ProbePurpose {
  // A suspended upstream may have recovered.
  kRecovery,
  // A request may have crashed the upstream.
  kCrash,
};

// Starts a request to the upstream's health path. Its result comes back through
// OnProbeResult().
struct StartProbe {
  base::ServiceId service;
  base::UpstreamId upstream;
  std::string address;
  ProbePurpose purpose = ProbePurpose::kRecovery;
};

// Reports for the log that a broken connection was counted as a crash that the
// request caused.
struct CrashCounted {
  base::ServiceId service;
  base::UpstreamId upstream;
  Fingerprint fingerprint;
  // Crashes that requests with this fingerprint have caused so far.
  std::uint32_t crashes = 0;
  const char* evidence = "";
  base::Duration since_break{};
};

// Reports for the log that a fingerprint is no longer suspected of having
// crashed an upstream, or has been cleared of the crashes counted so far.
struct CrashSuspicionDropped {
  base::UpstreamId upstream;
  Fingerprint fingerprint;
  std::uint32_t crashes = 0;
  const char* reason = "";
};

// Reports for the log that a daemon has told that an upstream is leaving.
struct LeavingLearned {
  base::UpstreamId upstream;
  base::DaemonId told_by;
};

// Reports a change of an upstream's health status for the log and the metrics.
// `health_status` is the value that is written there: "trusted"
// (HealthStatus::kHealthy), "suspended" or "trial".
struct HealthStatusChanged {
  base::ServiceId service;
  base::UpstreamId upstream;
  const char* health_status = "";
  const char* reason = "";
  double failure_share = 0;
  double slowness = 1;
  std::uint32_t stalled_count = 0;
};

using Action = std::variant<SendGrant,
                            SendQueuedNotice,
                            SendRefusal,
                            StartProbe,
                            CrashCounted,
                            CrashSuspicionDropped,
                            LeavingLearned,
                            HealthStatusChanged>;
using Actions = std::vector<Action>;

}  // namespace poplarfork::dispatch
