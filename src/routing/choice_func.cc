#include "routing/choice_func.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/rng_func.h"

namespace poplarfork::routing {

namespace {

// Number of random draws before the search goes through all candidates in
// order.
constexpr int kMaxDraws = 8;

struct Sampler {
  std::span<const Candidate> candidates;
  std::span<const std::uint32_t> tried;
  std::optional<std::uint32_t> sampled;
};

bool IsUsable(const Sampler& sampler, std::uint32_t index) {
  const Candidate& candidate = sampler.candidates[index];
  if (candidate.in_flight >= candidate.limit || candidate.weight <= 0)
    return false;
  if (sampler.sampled == index)
    return false;
  return std::ranges::find(sampler.tried, index) == sampler.tried.end();
}

std::optional<std::uint32_t> ScanForUsable(const Sampler& sampler,
                                           std::uint64_t start) {
  const std::size_t count = sampler.candidates.size();
  for (std::size_t offset = 0; offset < count; ++offset) {
    const auto index = static_cast<std::uint32_t>((start + offset) % count);
    if (IsUsable(sampler, index))
      return index;
  }
  return std::nullopt;
}

std::optional<std::uint32_t> SampleCandidate(const Sampler& sampler,
                                             base::Rng& rng) {
  const std::uint64_t count = sampler.candidates.size();
  for (int draw = 0; draw < kMaxDraws; ++draw) {
    const auto index =
        static_cast<std::uint32_t>(base::UniformBelow(rng, count));
    if (!IsUsable(sampler, index))
      continue;
    const double weight = sampler.candidates[index].weight;
    if (weight >= 1 || base::Uniform01(rng) < weight)
      return index;
  }
  return ScanForUsable(sampler, base::UniformBelow(rng, count));
}

SampledCandidate MakeSampledCandidate(std::span<const Candidate> candidates,
                                      std::uint32_t index,
                                      base::TimePoint now) {
  const Candidate& candidate = candidates[index];
  const double slots = std::max<std::uint32_t>(candidate.slots, 1);
  return {.index = index,
          .in_flight = candidate.in_flight,
          .slots = candidate.slots,
          .weight = candidate.weight,
          .own_load = candidate.in_flight / (slots * candidate.weight),
          .estimated_load = EstimatedLoad(candidate, now)};
}

bool IsLessLoaded(const SampledCandidate& left, const SampledCandidate& right) {
  if (left.own_load != right.own_load)
    return left.own_load < right.own_load;
  return left.estimated_load < right.estimated_load;
}

}  // namespace

double EstimatedLoad(const Candidate& candidate, base::TimePoint now) {
  if (!candidate.has_report)
    return kUnknownLoad;
  const auto age = std::max(now - candidate.reported_at, base::Duration(0));
  const double half_lives = static_cast<double>(age.count()) /
                            static_cast<double>(kLoadHalfLife.count());
  const double weight = std::exp2(-half_lives);
  return kUnknownLoad + (candidate.reported_load - kUnknownLoad) * weight;
}

std::optional<UpstreamChoice> ChooseUpstream(
    std::span<const Candidate> candidates,
    std::span<const std::uint32_t> tried,
    base::TimePoint now,
    base::Rng& rng) {
  if (candidates.empty())
    return std::nullopt;
  Sampler sampler{.candidates = candidates, .tried = tried, .sampled = {}};
  const std::optional<std::uint32_t> first = SampleCandidate(sampler, rng);
  if (!first)
    return std::nullopt;

  UpstreamChoice choice;
  choice.chosen = MakeSampledCandidate(candidates, *first, now);
  sampler.sampled = first;
  const std::optional<std::uint32_t> second = SampleCandidate(sampler, rng);
  if (!second)
    return choice;
  choice.other = MakeSampledCandidate(candidates, *second, now);
  if (IsLessLoaded(*choice.other, choice.chosen))
    std::swap(choice.chosen, *choice.other);
  return choice;
}

}  // namespace poplarfork::routing
