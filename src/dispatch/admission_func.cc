#include "dispatch/admission_func.h"

#include <algorithm>
#include <cmath>

#include "dispatch/placement_func.h"

namespace poplarfork::dispatch {

namespace {

// Upper limit of the queue of one service or shard, whatever the expected
// waiting time is.
constexpr std::size_t kMaxWaiting = 2000;

// Durations vary, but nine of ten requests take less than this many mean
// durations. A longer queue would not complete more requests, it would only
// complete them later.
constexpr double kRunMargin = 1.8;

// While the mean duration of a class of work is not known, a request is assumed
// to run for this share of the time that is left until its response counts as
// late.
constexpr double kUnknownRunShare = 0.4;

// In the queue, a request counts as due this much earlier for each step of
// urgency. Strict priorities would starve the less urgent requests.
constexpr base::Duration kRankAdvance = std::chrono::milliseconds(60);

// Bounds of the time after which the caller of a refused request may try again.
constexpr base::Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr base::Duration kMaxRetryAfter = std::chrono::milliseconds(3000);

// Shares of the deployment's retry limits that one dispatcher uses. While one
// dispatcher takes over from another, both may grant retries at the same time.
constexpr double kRatioShare = 0.8;
constexpr double kAllowanceShare = 0.5;

// Share of a full retry budget that is reserved for non-repeatable requests.
// Their retries all follow an upstream's statement that it has not run the
// request.
constexpr double kReservedShare = 0.25;

// Time constant of the smoothed request rate from which the retry budget is
// refilled.
constexpr double kRateSeconds = 5;

base::TimePoint OrderKey(const Waiter& waiter) {
  return waiter.late_at + kRankAdvance * waiter.ask.work.priority;
}

base::Duration ExpectedWait(const ServiceState& service, std::size_t ahead) {
  const double rate = ServiceRate(service);
  if (rate <= 0)
    return base::Duration::max();
  const double seconds = static_cast<double>(ahead + 1) / rate;
  return base::Duration(static_cast<std::int64_t>(seconds * 1e6));
}

double FullBudget(const Settings& settings, const ServiceState& service) {
  return kAllowanceShare * settings.retry_allowance * service.share;
}

void Refill(const Settings& settings,
            ServiceState& service,
            base::TimePoint now) {
  RetryAllowance& retries = service.retries;
  if (!retries.started) {
    retries.started = true;
    retries.tokens = FullBudget(settings, service);
    retries.at = now;
    return;
  }
  const double seconds = static_cast<double>((now - retries.at).count()) / 1e6;
  retries.at = now;
  retries.tokens +=
      kRatioShare * settings.retry_ratio * retries.request_rate * seconds;
  retries.tokens = std::min(retries.tokens, FullBudget(settings, service));
  retries.request_rate *= std::exp(-seconds / kRateSeconds);
}

}  // namespace

bool MayWait(const ServiceState& service, const Ask& ask) {
  if (service.waiting.size() >= kMaxWaiting)
    return false;
  const auto fallback = base::Duration(static_cast<std::int64_t>(
      kUnknownRunShare * static_cast<double>(ask.until_late.count())));
  const base::Duration run = UsualDuration(service, ask.work, fallback);
  const auto margin = base::Duration(
      static_cast<std::int64_t>(kRunMargin * static_cast<double>(run.count())));
  const base::Duration wait = ExpectedWait(service, service.waiting.size());
  if (wait == base::Duration::max())
    return false;
  // A request that has been granted an upstream before has already been held
  // for some time, and refusing it now would waste that time. It may therefore
  // wait until its deadline.
  const base::Duration limit =
      ask.is_retry || ask.was_granted ? ask.until_deadline : ask.until_late;
  return wait + margin <= limit;
}

base::Duration RetryAfter(const ServiceState& service, double unit) {
  const base::Duration wait = ExpectedWait(service, service.waiting.size());
  if (wait > kMaxRetryAfter)
    return kMaxRetryAfter;
  const auto spread = base::Duration(
      static_cast<std::int64_t>(unit * static_cast<double>(wait.count())));
  return std::clamp(wait / 2 + spread, kMinRetryAfter, kMaxRetryAfter);
}

void Enqueue(ServiceState& service, Waiter waiter) {
  const auto place =
      std::upper_bound(service.waiting.begin(), service.waiting.end(), waiter,
                       [](const Waiter& a, const Waiter& b) {
                         return OrderKey(a) < OrderKey(b);
                       });
  service.waiting.insert(place, std::move(waiter));
}

std::size_t NextWaiter(const ServiceState& service, base::TimePoint now) {
  for (std::size_t i = 0; i < service.waiting.size(); ++i) {
    const Waiter& waiter = service.waiting[i];
    const base::Duration run =
        UsualDuration(service, waiter.ask.work, base::Duration(0));
    if (now + run <= waiter.late_at)
      return i;
  }
  return 0;
}

bool TakeRetry(const Settings& settings,
               ServiceState& service,
               const WorkClass& work,
               base::TimePoint now) {
  Refill(settings, service, now);
  const double kept =
      work.repeatable ? kReservedShare * FullBudget(settings, service) : 0;
  if (service.retries.tokens < 1 + kept)
    return false;
  service.retries.tokens -= 1;
  return true;
}

void CountFirstSend(const Settings& settings,
                    ServiceState& service,
                    base::TimePoint now) {
  Refill(settings, service, now);
  service.retries.request_rate += 1 / kRateSeconds;
}

}  // namespace poplarfork::dispatch
