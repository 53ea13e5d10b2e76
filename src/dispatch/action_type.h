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

struct SendWaiting {
  base::DaemonId to;
  Waiting waiting;
};

struct SendRefusal {
  base::DaemonId to;
  Refusal refusal;
};

// Starts a request to the upstream's health path. Its result comes back through
// OnProbeResult().
struct StartProbe {
  base::ServiceId service;
  base::UpstreamId upstream;
  std::string address;
};

// Reports a change of an upstream's health status for the log and the metrics.
// `health_status` is the value that is written there: "trusted"
// (HealthStatus::kHealthy), "suspended" or "trial".
struct StandingChanged {
  base::ServiceId service;
  base::UpstreamId upstream;
  const char* standing = "";
  const char* reason = "";
  double failure_share = 0;
  double slowness = 1;
  std::uint32_t stalled = 0;
};

using Action = std::
    variant<SendGrant, SendWaiting, SendRefusal, StartProbe, StandingChanged>;
using Actions = std::vector<Action>;

}  // namespace poplarfork::dispatch
