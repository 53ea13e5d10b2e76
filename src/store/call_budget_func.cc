#include "store/call_budget_func.h"

#include <algorithm>
#include <chrono>

namespace poplarfork::store {

CallBudget MakeCallBudget(double tokens_per_second,
                          double burst,
                          base::TimePoint now) {
  return CallBudget{tokens_per_second, burst, burst, now};
}

bool TryTakeCallToken(CallBudget& budget, base::TimePoint now) {
  const std::chrono::duration<double> elapsed = now - budget.refilled_at;
  budget.refilled_at = now;
  budget.tokens = std::min(
      budget.burst, budget.tokens + elapsed.count() * budget.tokens_per_second);
  if (budget.tokens < 1.0)
    return false;
  budget.tokens -= 1.0;
  return true;
}

}  // namespace poplarfork::store
