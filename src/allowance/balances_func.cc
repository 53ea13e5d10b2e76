#include "allowance/balances_func.h"

#include <algorithm>
#include <cmath>

#include "allowance/balance_func.h"
#include "allowance/owner_func.h"

namespace poplarfork::allowance {

namespace {

// Number of sends without a reply after which an ask goes to the next member in
// rank.
constexpr std::uint32_t kMaxSends = 3;

// Bounds of the time between an ask that was granted in part and the next one.
// The owner keeps the tokens in the meantime.
constexpr base::Duration kMinAskInterval = std::chrono::milliseconds(50);
constexpr base::Duration kMaxAskInterval = std::chrono::milliseconds(250);

void Schedule(Balances& balances,
              const base::AccountId& account,
              Balance& balance,
              base::TimePoint now) {
  const base::TimePoint wake_at = NextWakeUp(balance, now);
  if (wake_at == balance.wake_at)
    return;
  balances.wake_ups.erase({balance.wake_at, account});
  balances.wake_ups.emplace(wake_at, account);
  balance.wake_at = wake_at;
}

Balance& FindOrCreateBalance(Balances& balances,
                             const base::AccountId& account,
                             const fleet::AccountLimit& limit,
                             base::TimePoint now) {
  const auto [found, added] = balances.by_account.try_emplace(account);
  Balance& balance = found->second;
  if (added) {
    balance.smoothed_at = now;
    balance.refilled_at = now;
  }
  if (balance.limit != limit) {
    balance.limit = limit;
    balance.tokens = std::min(balance.tokens, TargetTokens(balance));
  }
  return balance;
}

// Returns what the balance asks for now; nothing if it does not ask.
std::optional<TokenAsk> MakeAsk(const base::AccountId& account,
                                const Balance& balance,
                                base::TimePoint now) {
  if (now < balance.ask_not_before)
    return std::nullopt;
  TokenAsk ask{.account = account, .returned = SurplusTokens(balance, now)};
  if (ask.returned > 0)
    return ask;
  if (IsIdle(balance, now))
    ask.wanted = std::max(-balance.tokens, 0.0);
  else if (NeedsTokens(balance))
    ask.wanted = TargetTokens(balance) - balance.tokens;
  if (ask.wanted <= 0)
    return std::nullopt;
  return ask;
}

// Repeats the open ask if its reply is overdue.
void RepeatAsk(const base::AccountId& account,
               Balance& balance,
               base::TimePoint now,
               DueAsks& due) {
  OpenAsk& open_ask = *balance.open_ask;
  if (now - open_ask.sent_at < AskTimeout(balance))
    return;
  if (open_ask.sends >= kMaxSends) {
    due.silent_groups.insert(GroupOf(account));
    ++balance.silent_owners;
    // The silent owner may have taken back the returned tokens, so the next one
    // does not get them as well.
    open_ask.returned = 0;
    open_ask.sends = 0;
    if (open_ask.wanted <= 0) {
      balance.open_ask.reset();
      return;
    }
  }
  ++open_ask.sends;
  open_ask.sent_at = now;
  due.asks.push_back({.account = account,
                      .wanted = open_ask.wanted,
                      .returned = open_ask.returned,
                      .sequence = open_ask.sequence});
}

void StartAsk(Balances& balances,
              const base::AccountId& account,
              Balance& balance,
              base::TimePoint now,
              DueAsks& due) {
  std::optional<TokenAsk> ask = MakeAsk(account, balance, now);
  if (!ask)
    return;
  ask->sequence = balances.next_sequence++;
  balance.tokens -= ask->returned;
  balance.open_ask = OpenAsk{.sequence = ask->sequence,
                             .wanted = ask->wanted,
                             .returned = ask->returned,
                             .sends = 1,
                             .sent_at = now};
  due.asks.push_back(std::move(*ask));
}

// Fractions of a token below this are rounding errors.
constexpr double kRoundingError = 1e-6;

// Tells whether nothing is lost if the balance is forgotten.
bool IsSettled(const Balance& balance, base::TimePoint now) {
  return IsForgotten(balance, now) ||
         (!balance.open_ask && IsIdle(balance, now) &&
          std::abs(balance.tokens) < kRoundingError);
}

}  // namespace

fleet::AccountLimit FindLimit(const AccountTable& accounts,
                              const base::AccountId& account) {
  if (!accounts || account.value.empty())
    return {};
  const auto found = accounts->find(account);
  return found != accounts->end() ? found->second.limit : fleet::AccountLimit{};
}

std::optional<base::Duration> TakeToken(Balances& balances,
                                        const base::AccountId& account,
                                        base::TimePoint now,
                                        double jitter) {
  const fleet::AccountLimit limit = FindLimit(balances.accounts, account);
  if (limit.rate_per_second <= 0)
    return std::nullopt;
  Balance& balance = FindOrCreateBalance(balances, account, limit, now);
  CountRequest(balance, now);
  RefillWithoutOwner(balance, balances.known_members, now);
  std::optional<base::Duration> retry_after;
  if (balance.tokens - 1 >= -OverdraftLimit(balance)) {
    balance.tokens -= 1;
  } else {
    CountRefusal(balance);
    retry_after = ComputeRetryAfter(balance, now, jitter);
  }
  Schedule(balances, account, balance, now);
  return retry_after;
}

void GiveBackToken(Balances& balances, const base::AccountId& account) {
  const auto found = balances.by_account.find(account);
  if (found != balances.by_account.end())
    found->second.tokens += 1;
}

base::TimePoint NextWakeUp(const Balances& balances) {
  return balances.wake_ups.empty() ? base::TimePoint::max()
                                   : balances.wake_ups.begin()->first;
}

DueAsks TakeDueAsks(Balances& balances, base::TimePoint now) {
  DueAsks due;
  while (NextWakeUp(balances) <= now) {
    const base::AccountId account = balances.wake_ups.begin()->second;
    balances.wake_ups.erase(balances.wake_ups.begin());
    const auto found = balances.by_account.find(account);
    if (found == balances.by_account.end())
      continue;
    Balance& balance = found->second;
    balance.wake_at = {};
    DecayRates(balance, now);
    RefillWithoutOwner(balance, balances.known_members, now);
    if (balance.open_ask)
      RepeatAsk(account, balance, now, due);
    else
      StartAsk(balances, account, balance, now, due);
    if (IsSettled(balance, now)) {
      balances.by_account.erase(found);
      continue;
    }
    Schedule(balances, account, balance, now + base::Duration(1));
  }
  return due;
}

void OnTokenGrant(Balances& balances,
                  const TokenGrant& grant,
                  base::TimePoint now) {
  const auto found = balances.by_account.find(grant.account);
  if (found == balances.by_account.end())
    return;
  Balance& balance = found->second;
  if (!balance.open_ask || balance.open_ask->sequence != grant.sequence)
    return;
  const double wanted = balance.open_ask->wanted;
  const double granted = std::clamp(grant.granted, 0.0, wanted);
  balance.open_ask.reset();
  balance.tokens += granted;
  balance.silent_owners = 0;
  balance.ask_not_before = now;
  balance.next_token_at = now;
  if (granted < wanted) {
    balance.next_token_at = now + grant.next_token;
    balance.ask_not_before =
        now + std::clamp(grant.next_token, kMinAskInterval, kMaxAskInterval);
  }
  Schedule(balances, grant.account, balance, now);
}

}  // namespace poplarfork::allowance
