#include "load/retry_budget_func.h"

#include <algorithm>
#include <numeric>

namespace poplarfork::load {

namespace {

// Tolerance for rounding: 0.1 added ten times gives slightly less than 1.
constexpr double kRoundingSlack = 1e-9;

void Advance(RetryBudget& budget, double ratio, base::TimePoint now) {
  const std::int64_t second =
      std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch())
          .count();
  if (second <= budget.second)
    return;
  const auto seconds = static_cast<std::int64_t>(RetryBudget::kSeconds);
  const std::int64_t first = std::max(budget.second + 1, second - seconds + 1);
  for (std::int64_t cleared = first; cleared <= second; ++cleared)
    budget.requests[cleared % seconds] = 0;
  budget.second = second;
  const double earned = ratio * std::accumulate(budget.requests.begin(),
                                                budget.requests.end(), 0.0);
  budget.tokens = std::min(budget.tokens, std::max(earned, 1.0));
}

}  // namespace

void OnFirstSend(RetryBudget& budget, double ratio, base::TimePoint now) {
  Advance(budget, ratio, now);
  ++budget.requests[budget.second %
                    static_cast<std::int64_t>(RetryBudget::kSeconds)];
  budget.tokens += ratio;
}

bool TakeRetry(RetryBudget& budget, double ratio, base::TimePoint now) {
  Advance(budget, ratio, now);
  if (budget.tokens < 1 - kRoundingSlack)
    return false;
  budget.tokens = std::max(budget.tokens - 1, 0.0);
  return true;
}

}  // namespace poplarfork::load
