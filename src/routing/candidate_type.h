#pragma once

#include <cstdint>

#include "base/time_type.h"

namespace poplarfork::routing {

// The properties of one upstream on which the choice of an upstream depends.
// The daemon keeps one array of them per service and updates it in place.
struct Candidate {
  // Number of the daemon's own requests in flight at the upstream.
  std::uint32_t in_flight = 0;
  // Current maximum of `in_flight`, from the daemon's connections and the
  // adaptive limit. An upstream at its limit is not chosen.
  std::uint32_t limit = 1;
  std::uint32_t slots = 1;
  // Share of its normal work that the upstream gets, above 0 and at most 1. It
  // is below 1 while the upstream ramps up.
  double weight = 1;
  // Share of the upstream's slots that are busy, as it last reported; 0 or
  // more.
  double reported_load = 0;
  base::TimePoint reported_at = {};
  bool has_report = false;
};

}  // namespace poplarfork::routing
