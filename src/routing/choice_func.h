#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "base/rng_type.h"
#include "base/time_type.h"
#include "routing/candidate_type.h"
#include "routing/choice_type.h"

namespace poplarfork::routing {

// Age at which a load report has half of its weight.
inline constexpr base::Duration kLoadHalfLife = std::chrono::seconds(2);

// Load that is assumed for an upstream without a report. The estimate moves
// from the report to this value as the report ages, so that an upstream that
// stops reporting is neither preferred nor avoided.
inline constexpr double kUnknownLoad = 0.5;

// Returns the reported load, discounted by the age of the report at `now`.
double EstimatedLoad(const Candidate& candidate, base::TimePoint now);

// Samples 2 of `candidates` in proportion to their weights and returns the less
// loaded one. The own requests in flight relative to slots and weight are
// compared first, then the estimated load. Candidates at their limit and those
// whose index is in `tried` are left out. Returns nothing if no candidate is
// left.
std::optional<UpstreamChoice> ChooseUpstream(
    std::span<const Candidate> candidates,
    std::span<const std::uint32_t> tried,
    base::TimePoint now,
    base::Rng& rng);

}  // namespace poplarfork::routing
