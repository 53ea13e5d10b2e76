#pragma once

#include "base/ids_type.h"
#include "base/time_type.h"

namespace poplarfork::health {

// Exponentially decayed counts of requests and of the bad ones among them, as
// of `updated_at`.
struct RateCounts {
  double requests = 0;
  // Responses that report a failure or are invalid.
  double failed_responses = 0;
  // Requests for which no complete response arrived.
  double transport_failures = 0;
  double slow = 0;
  base::TimePoint updated_at{};
};

// Counts of the upstreams of one data centre, with a short and a long
// half-life.
struct DataCentreCounts {
  base::DataCentreId data_centre;
  RateCounts short_term;
  RateCounts long_term;
};

}  // namespace poplarfork::health
