#pragma once

#include "base/time_type.h"
#include "load/retry_budget_type.h"

namespace poplarfork::load {

// Counts the first attempt of a request, which adds `ratio` of a retry to the
// budget. The budget keeps at most what the last 10 s have added, but always up
// to one retry, so that a service with little traffic can retry too.
void OnFirstAttempt(RetryBudget& budget, double ratio, base::TimePoint now);

// Takes the token of one retry from the budget. Returns false if there is none.
bool TryTakeRetryToken(RetryBudget& budget, double ratio, base::TimePoint now);

}  // namespace poplarfork::load
