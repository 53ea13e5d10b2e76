#pragma once

#include <cstdint>
#include <optional>

namespace poplarfork::routing {

// The inputs of the decision for one sampled candidate, for its log line.
struct SampledCandidate {
  // Index in the array of candidates.
  std::uint32_t index = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t slots = 0;
  double weight = 0;
  // Own requests in flight relative to slots and weight.
  double own_load = 0;
  // Reported load, discounted by the age of the report.
  double estimated_load = 0;
};

// The chosen upstream and the one with which it was compared.
struct UpstreamChoice {
  SampledCandidate chosen;
  // Empty if only one candidate could take the request.
  std::optional<SampledCandidate> other;
};

}  // namespace poplarfork::routing
