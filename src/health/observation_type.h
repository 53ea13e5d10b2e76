#pragma once

#include "base/time_type.h"

namespace poplarfork::health {

// Outcome of one request as evidence about its upstream, after attribution.
enum class ObservationKind {
  kGood,
  // The upstream sent a response that reports a failure or is invalid.
  kFailedResponse,
  // No complete response arrived.
  kTransportFailure,
  // The request is still running. Only its elapsed time counts.
  kRunning,
};

// One observation of an upstream.
struct UpstreamObservation {
  ObservationKind kind = ObservationKind::kGood;
  // Latency of the request, or its elapsed time while it is running. 0 if the
  // time is no evidence.
  base::Duration latency{};
  // Latency evidence in nats that was already counted while the same request
  // was running.
  double counted_latency_score = 0;
};

}  // namespace poplarfork::health
