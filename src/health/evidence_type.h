#pragma once

#include "base/time_type.h"

namespace poplarfork::health {

// Outcome of one request as evidence about its upstream, after attribution.
enum class EvidenceKind {
  kGood,
  // The upstream sent a response that reports a failure or is invalid.
  kAnswerFailure,
  // No complete response arrived.
  kTransportFailure,
  // The request is still running. Only its elapsed time counts.
  kRunning,
};

// One observation of an upstream.
struct Evidence {
  EvidenceKind kind = EvidenceKind::kGood;
  // Latency of the request, or its elapsed time while it is running. 0 if the
  // time is no evidence.
  base::Duration latency{};
  // Latency evidence in nats that was already counted while the same request
  // was running.
  double counted = 0;
};

}  // namespace poplarfork::health
