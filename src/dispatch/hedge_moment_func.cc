#include "dispatch/hedge_moment_func.h"

#include <algorithm>
#include <array>

#include "dispatch/fault_estimate_func.h"

namespace poplarfork::dispatch {

namespace {

// Weight of the durations below which their slowest part is not known.
constexpr double kMinWeight = 40;

// Time in which the dispatcher replies and the connection is opened.
constexpr double kFreshAttemptDelayUs = 10e3;

// Fault probability that is assumed of the upstream of a fresh attempt. One
// that has just responded has about this much, see fault_estimate_func.h.
constexpr double kFreshFaultProbability = 0.12;

// Earlier the loss of a datagram would not be noticed either.
constexpr base::Duration kMinMoment = std::chrono::milliseconds(10);

// Weights with which a bin and its neighbours at each side are counted as one.
// Without that, each attempt that takes a little longer than all before would
// seem to hang where durations hardly vary: a busy machine is enough for it.
constexpr std::array kSmoothing = {0.4, 0.2, 0.1};

// Returns the weight of the bin after smoothing.
double SmoothedWeight(const DurationHistogram& histogram, int index) {
  double weight = kSmoothing[0] * histogram.bins.at(index);
  for (int offset = 1; offset < static_cast<int>(kSmoothing.size()); ++offset) {
    if (index - offset >= -1)
      weight += kSmoothing[offset] * histogram.bins.at(index - offset);
    if (index + offset <= kDurationBinCount)
      weight += kSmoothing[offset] * histogram.bins.at(index + offset);
  }
  return weight;
}

// Returns the mean duration of the bin in microseconds.
double BinMean(const DurationHistogram& histogram, int index) {
  if (index < 0)
    return kShortestDurationUs;
  if (index >= kDurationBinCount)
    return kLongestDurationUs;
  const auto bin = histogram.bins.axis().bin(index);
  return (bin.lower() + bin.upper()) / 2;
}

// Durations that are at least as long as some age.
struct Tail {
  double weight = 0;
  double sum_us = 0;
};

void AddBin(Tail& tail, const DurationHistogram& histogram, int index) {
  const double weight = SmoothedWeight(histogram, index);
  tail.weight += weight;
  tail.sum_us += weight * BinMean(histogram, index);
}

// Tells whether a hedge is worth its share at an age at which `tail` is left of
// the durations, whose mean is `mean_us`.
bool IsWorthHedge(const Tail& tail,
                  const HedgeMomentInput& input,
                  double total_weight,
                  double mean_us,
                  double age_us) {
  const double survival = tail.weight / total_weight;
  const double loss = LossProbability(input.fault_probability);
  const double lost_now = loss / (loss + (1 - loss) * survival);
  const double until_deadline_us =
      std::max(static_cast<double>(input.until_deadline.count()) - age_us, 0.0);
  const double remaining_us =
      tail.weight > 0 ? std::max(tail.sum_us / tail.weight - age_us, 0.0) : 0;
  const double running_us =
      lost_now * until_deadline_us + (1 - lost_now) * remaining_us;
  const double fresh_loss = LossProbability(kFreshFaultProbability);
  const double fresh_us = kFreshAttemptDelayUs +
                          fresh_loss * until_deadline_us +
                          (1 - fresh_loss) * mean_us;
  const bool is_exceptional = lost_now >= 0.5 || survival <= input.hedge_share;
  return is_exceptional && running_us > fresh_us;
}

}  // namespace

base::Duration ComputeHedgeMoment(const DurationHistogram& histogram,
                                  const HedgeMomentInput& input) {
  if (histogram.weight < kMinWeight)
    return input.retry_after;
  Tail all;
  for (int index = -1; index <= kDurationBinCount; ++index)
    AddBin(all, histogram, index);
  const double mean_us = all.sum_us / all.weight;
  // From the longest age on, as the tails grow towards the shorter ones.
  Tail tail;
  AddBin(tail, histogram, kDurationBinCount);
  base::Duration moment = input.retry_after;
  for (int index = kDurationBinCount - 1; index >= 0; --index) {
    AddBin(tail, histogram, index);
    const double age_us = histogram.bins.axis().bin(index).lower();
    if (IsWorthHedge(tail, input, all.weight, mean_us, age_us))
      moment =
          std::min(moment, base::Duration(static_cast<std::int64_t>(age_us)));
  }
  return std::min(std::max(moment, kMinMoment), input.retry_after);
}

}  // namespace poplarfork::dispatch
