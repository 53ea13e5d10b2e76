#pragma once

#include <cstdint>

#include "base/ids_type.h"
#include "base/time_type.h"
#include "health/action_type.h"
#include "health/service_health_type.h"

namespace poplarfork::health {

// Requests with the fingerprint of a request that crashes upstreams are refused
// for this time.
constexpr base::Duration kCrashRefusalTime = std::chrono::minutes(10);

// Cause to which the loss of a connection that carried a request is attributed.
enum class LossAttribution {
  // This is the first loss with this request. It counts against the upstream.
  kFirstLoss,
  // The request lost its connection at 2 different upstreams and was never
  // answered, so the request is at fault.
  kCrashRequest,
  // The request is not at fault: it was answered recently, it lost its
  // connection at the same upstream before, connections to most upstreams are
  // failing, or its fingerprint is not known.
  kNotRequestFault,
};

// Records that a request with `fingerprint` lost its connection to `upstream`.
// If the result is `kCrashRequest`, the fingerprint is refused from now on and
// the evidence that the first loss added is subtracted from its upstream.
LossAttribution RecordLoss(ServiceHealth& health,
                           std::uint64_t fingerprint,
                           const base::UpstreamId& upstream,
                           base::TimePoint now);

// Records how much outcome evidence (nats) the first loss of `fingerprint`
// added to its upstream.
void RecordLossEvidence(CrashTable& table,
                        std::uint64_t fingerprint,
                        double counted_outcome_score);

// Records that a request with `fingerprint` was answered, which shows that it
// does not crash upstreams.
void RecordAnswered(CrashTable& table, std::uint64_t fingerprint);

// Refuses `fingerprint` because a peer announced it. Returns false if it was
// already refused.
bool RefuseAnnouncedFingerprint(CrashTable& table,
                                std::uint64_t fingerprint,
                                base::TimePoint now);

// Removes refused fingerprints that have expired and losses that are too old.
void ExpireCrashTable(CrashTable& table, base::TimePoint now, Actions& actions);

}  // namespace poplarfork::health
