#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/time_type.h"
#include "dispatch/message_type.h"
#include "fleet/shard_type.h"
#include "fleet/upstream_entry_type.h"

namespace poplarfork::dispatch {

// A granted attempt that has not been reported yet.
struct Running {
  base::DaemonId daemon;
  AttemptId attempt;
  base::UpstreamId upstream;
  fleet::Shard shard;
  WorkClass work;
  Fingerprint fingerprint;
  base::TimePoint granted_at{};
  // A repeatable request is sent elsewhere from then on.
  base::TimePoint retry_at{};
  // From then on it is evidence against the upstream.
  base::TimePoint stalls_at{};
  // Forgotten after this time, should its report be lost.
  base::TimePoint expires_at{};
  // The stall has been counted as evidence.
  bool stall_counted = false;
};

enum class Standing {
  // Gets requests.
  kTrusted,
  // Gets none, because recent evidence speaks against it.
  kSuspended,
  // Gets one request at a time, to find out whether it has recovered.
  kTrial,
};

// What the dispatcher knows of one upstream.
struct UpstreamState {
  fleet::UpstreamEntry entry;
  std::uint32_t running = 0;
  std::uint32_t stalled = 0;
  // Work that other dispatchers gave it, from the load it last stated.
  std::uint32_t foreign = 0;
  base::TimePoint load_stated_at{};

  // Recent outcomes, halved every kEvidenceHalfLife.
  double served = 0;
  double failed = 0;
  double shed = 0;
  base::TimePoint evidence_at{};
  // Its durations relative to the usual ones of the same work.
  double slowness = 1;
  // When an answer of any kind last arrived, and requests granted since then.
  base::TimePoint last_answer{};
  std::uint32_t granted_since_answer = 0;
  // When the attempts in progress were granted.
  std::vector<base::TimePoint> granted_at;

  Standing standing = Standing::kTrusted;
  base::TimePoint suspended_until{};
  base::Duration next_suspension{};
  base::TimePoint trial_since{};
  std::uint32_t trial_successes = 0;
  base::TimePoint reinstated_at{};
  std::uint32_t failed_probes = 0;
  bool probing = false;

  // Requests whose connections broke lately. If the upstream cannot be reached
  // right after, they may have crashed it.
  struct Break {
    Fingerprint fingerprint;
    base::TimePoint at{};
  };
  std::vector<Break> breaks;

  // Daemons whose connections to it failed lately: when that was first seen,
  // and until when these daemons are given others.
  struct PathTrouble {
    base::TimePoint since{};
    base::TimePoint until{};
  };
  std::map<base::DaemonId, PathTrouble> troubled_paths;
};

}  // namespace poplarfork::dispatch
