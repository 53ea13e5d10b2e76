#include "load/retry_budget_func.h"

#include <algorithm>
#include <numeric>

namespace poplarfork::load {

namespace {

// Tolerance for rounding: 0.1 added ten times gives slightly less than 1.
constexpr double kRoundingTolerance = 1e-9;

void AdvanceWindow(RetryBudget& budget, double ratio, base::TimePoint now) {
  const std::int64_t second =
      std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch())
          .count();
  if (second <= budget.current_second)
    return;
  const auto window_seconds =
      static_cast<std::int64_t>(RetryBudget::kWindowSeconds);
  const std::int64_t first =
      std::max(budget.current_second + 1, second - window_seconds + 1);
  for (std::int64_t cleared = first; cleared <= second; ++cleared)
    budget.requests_by_second[cleared % window_seconds] = 0;
  budget.current_second = second;
  const double earned =
      ratio * std::accumulate(budget.requests_by_second.begin(),
                              budget.requests_by_second.end(), 0.0);
  budget.tokens = std::min(budget.tokens, std::max(earned, 1.0));
}

}  // namespace

void OnFirstAttempt(RetryBudget& budget, double ratio, base::TimePoint now) {
  AdvanceWindow(budget, ratio, now);
  ++budget.requests_by_second[budget.current_second %
                              static_cast<std::int64_t>(
                                  RetryBudget::kWindowSeconds)];
  budget.tokens += ratio;
}

bool TryTakeRetryToken(RetryBudget& budget, double ratio, base::TimePoint now) {
  AdvanceWindow(budget, ratio, now);
  if (budget.tokens < 1 - kRoundingTolerance)
    return false;
  budget.tokens = std::max(budget.tokens - 1, 0.0);
  return true;
}

}  // namespace poplarfork::load
