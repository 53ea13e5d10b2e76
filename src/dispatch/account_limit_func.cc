#include "dispatch/account_limit_func.h"

#include <optional>

#include "allowance/balances_func.h"
#include "base/rng_func.h"

namespace poplarfork::dispatch {

base::AccountId ChargedAccount(const Dispatcher& dispatcher,
                               const SlotRequest& slot_request) {
  const bool has_paid = slot_request.is_retry || slot_request.is_hedge ||
                        slot_request.was_granted;
  const fleet::AccountLimit limit =
      allowance::FindLimit(dispatcher.balances.accounts, slot_request.account);
  return has_paid || limit.rate_per_second <= 0 ? base::AccountId{}
                                                : slot_request.account;
}

bool RefuseOverAllowance(Dispatcher& dispatcher,
                         const base::DaemonId& daemon,
                         const SlotRequest& slot_request,
                         base::TimePoint now,
                         base::Rng& rng,
                         Actions& actions) {
  const base::AccountId account = ChargedAccount(dispatcher, slot_request);
  if (account.value.empty())
    return false;
  const std::optional<base::Duration> retry_after = allowance::TakeToken(
      dispatcher.balances, account, now, base::Uniform01(rng));
  if (!retry_after)
    return false;
  actions.push_back(SendRefusal{
      daemon, Refusal{slot_request.attempt_id, RefusalReason::kOverAllowance,
                      *retry_after}});
  return true;
}

void GiveBackAccountToken(Dispatcher& dispatcher,
                          const base::AccountId& charged_account) {
  allowance::GiveBackToken(dispatcher.balances, charged_account);
}

void GiveBackUnusedToken(Dispatcher& dispatcher,
                         const RunningAttempt& attempt,
                         const AttemptReport& report) {
  const bool asks_again =
      report.notice.is_leaving || report.notice.pause > base::Duration(0);
  if (report.outcome == Outcome::kUnused && !asks_again &&
      !attempt.is_grant_repeated)
    allowance::GiveBackToken(dispatcher.balances, attempt.charged_account);
}

}  // namespace poplarfork::dispatch
