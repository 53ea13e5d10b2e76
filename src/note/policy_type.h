#pragma once

#include <cstdint>

#include "base/time_type.h"

namespace poplarfork::note {

// Trade-off of a service between detecting faulty upstreams fast and avoiding
// false ejections.
enum class DetectionPolicy {
  // Short detection time at the cost of somewhat more false ejections.
  kFastDetection,
  // Few false ejections at the cost of a longer detection time.
  kSureEjection,
};

// Priority of a service's requests when load is shed: bulk requests are shed
// first, urgent ones last.
enum class Urgency {
  kUrgent,
  kNormal,
  kBulk,
};

// Settings that a release note makes for one service.
struct ServicePolicy {
  DetectionPolicy detection = DetectionPolicy::kSureEjection;
  Urgency urgency = Urgency::kNormal;
  // Share of the service's listed slots, from 0 to 1, that must stay in
  // service.
  double floor = 0.5;
  // Maximum time from the arrival of a request to its response.
  base::Duration deadline = std::chrono::seconds(30);
  // Maximum number of retries as a share of the requests, from 0 to 1.
  double retry_ratio = 0.1;
  // Maximum number of this service's requests in flight at one daemon. Requests
  // above it are shed.
  std::uint32_t max_in_flight = 1000;
  // If true, non-repeatable requests without an Idempotency-Key are refused.
  bool require_key = false;
  // If true, a download whose connection breaks may be resumed from another
  // upstream with a range request.
  bool resume_by_range = false;
};

}  // namespace poplarfork::note
