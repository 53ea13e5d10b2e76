#include "allowance/balance_func.h"

#include <algorithm>
#include <cmath>

#include "base/time_func.h"

namespace poplarfork::allowance {

namespace {

// Share of one second's tokens by which a balance may go below zero.
constexpr double kOverdraftSeconds = 0.02;

// Demand that a balance should cover, and share of it below which the
// dispatcher asks for more.
constexpr double kTargetSeconds = 0.2;
constexpr double kAskBelowShare = 0.5;

// Lower limit of the target: one token, but less for small limits, of which
// several dispatchers would otherwise hold most unused.
constexpr double kMinTargetSeconds = 0.05;

// Time constant of the smoothed rates. A surge is seen within the time that the
// target covers.
constexpr double kSmoothingSeconds = 0.5;

// Time without a request after which unused tokens are returned.
constexpr base::Duration kIdleTime = std::chrono::seconds(1);

// Time without a request after which tokens that the owner could not give are
// forgotten.
constexpr base::Duration kForgetTime = std::chrono::seconds(5);

// Tokens above the target that a balance may hold while requests arrive.
constexpr double kMaxSurplus = 1;

// Time after which an open ask is repeated, and the same while no owner can be
// reached. Owners in the region reply within milliseconds.
constexpr base::Duration kAskTimeout = std::chrono::milliseconds(50);
constexpr base::Duration kSlowAskTimeout = std::chrono::milliseconds(250);

// Number of silent owners in succession after which none is assumed to be
// reachable.
constexpr std::uint32_t kMaxSilentOwners = 2;

// Longest time that a paused process makes up for.
constexpr base::Duration kMaxRefillTime = std::chrono::seconds(1);

// Bounds of the time that refused callers are told.
constexpr base::Duration kMinRetryAfter = std::chrono::milliseconds(50);
constexpr base::Duration kMaxRetryAfter = std::chrono::seconds(60);

// Refused requests are spread over the time in which those of the last second
// could be served, at most over this time.
constexpr double kMaxSpreadSeconds = 5;

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

base::Duration FromSeconds(double seconds) {
  return base::Duration(static_cast<std::int64_t>(seconds * 1e6));
}

}  // namespace

double OverdraftLimit(const Balance& balance) {
  return std::max(1.0, kOverdraftSeconds * balance.limit.rate_per_second);
}

double TargetTokens(const Balance& balance) {
  const double rate = balance.limit.rate_per_second;
  const double demand = std::min(balance.request_rate, rate);
  return std::max(kTargetSeconds * demand,
                  std::min(1.0, kMinTargetSeconds * rate));
}

bool NeedsTokens(const Balance& balance) {
  return balance.tokens < kAskBelowShare * TargetTokens(balance);
}

bool IsIdle(const Balance& balance, base::TimePoint now) {
  return now - balance.last_request_at >= kIdleTime;
}

bool IsForgotten(const Balance& balance, base::TimePoint now) {
  return now - balance.last_request_at >= kForgetTime;
}

double SurplusTokens(const Balance& balance, base::TimePoint now) {
  if (IsIdle(balance, now))
    return std::max(balance.tokens, 0.0);
  const double surplus = balance.tokens - TargetTokens(balance);
  return surplus > kMaxSurplus ? surplus : 0;
}

void DecayRates(Balance& balance, base::TimePoint now) {
  const double factor = std::exp(
      -std::max(Seconds(now - balance.smoothed_at), 0.0) / kSmoothingSeconds);
  balance.request_rate *= factor;
  balance.refusal_rate *= factor;
  balance.smoothed_at = now;
}

void CountRequest(Balance& balance, base::TimePoint now) {
  DecayRates(balance, now);
  balance.request_rate += 1 / kSmoothingSeconds;
  balance.last_request_at = now;
}

void CountRefusal(Balance& balance) {
  balance.refusal_rate += 1 / kSmoothingSeconds;
}

bool IsWithoutOwner(const Balance& balance) {
  return balance.silent_owners >= kMaxSilentOwners;
}

void RefillWithoutOwner(Balance& balance,
                        std::size_t known_members,
                        base::TimePoint now) {
  const base::Duration passed =
      std::min(now - balance.refilled_at, kMaxRefillTime);
  balance.refilled_at = now;
  if (!IsWithoutOwner(balance) || balance.tokens >= 1)
    return;
  const double rate =
      balance.limit.rate_per_second /
      static_cast<double>(std::max<std::size_t>(known_members, 1));
  balance.tokens = std::min(balance.tokens + rate * Seconds(passed), 1.0);
}

base::Duration ComputeRetryAfter(const Balance& balance,
                                 base::TimePoint now,
                                 double jitter) {
  const base::Duration until_token =
      std::max(balance.next_token_at - now, base::Duration(0));
  const double spread_seconds = std::min(
      balance.refusal_rate / balance.limit.rate_per_second, kMaxSpreadSeconds);
  return std::clamp(until_token + FromSeconds(jitter * spread_seconds),
                    kMinRetryAfter, kMaxRetryAfter);
}

base::Duration AskTimeout(const Balance& balance) {
  return IsWithoutOwner(balance) ? kSlowAskTimeout : kAskTimeout;
}

base::TimePoint NextWakeUp(const Balance& balance, base::TimePoint now) {
  if (balance.open_ask)
    return balance.open_ask->sent_at + AskTimeout(balance);
  if (NeedsTokens(balance) && !IsIdle(balance, now))
    return std::max(now, balance.ask_not_before);
  // An idle balance below zero asks until it has been paid back.
  const base::TimePoint idle_at = balance.last_request_at + kIdleTime;
  return idle_at > now ? idle_at : std::max(now, balance.ask_not_before);
}

}  // namespace poplarfork::allowance
