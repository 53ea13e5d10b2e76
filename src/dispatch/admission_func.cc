#include "dispatch/admission_func.h"

#include <algorithm>
#include <cmath>

#include "base/time_func.h"
#include "dispatch/account_load_func.h"
#include "dispatch/placement_func.h"

namespace poplarfork::dispatch {

namespace {

// Upper limit of the queue of one service or shard, whatever the expected
// waiting time is.
constexpr std::size_t kMaxQueuedRequests = 2000;

// Durations vary, but nine of ten requests take less than this many mean
// durations. A longer queue would not complete more requests, it would only
// complete them later.
constexpr double kDurationMargin = 1.8;

// While the mean duration of a class of work is not known, a request is assumed
// to run for this share of the time that is left until its response counts as
// late.
constexpr double kUnknownDurationShare = 0.4;

// In the queue, a request counts as due earlier by this share of the time in
// which it is on time, for each step by which its priority is more urgent.
// Strict priorities would starve the less urgent requests. The share gives 60
// ms for an objective of 0.8 s, which is also the least.
constexpr double kPriorityAdvanceShare = 0.075;
constexpr base::Duration kMinPriorityAdvance = std::chrono::milliseconds(60);

// Bounds of the time after which the caller of a refused request may try again.
constexpr base::Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr base::Duration kMaxRetryAfter = std::chrono::milliseconds(3000);

// Shares of the deployment's retry limits that one dispatcher uses. While one
// dispatcher takes over from another, both may grant retries at the same time.
constexpr double kRetryRatioShare = 0.8;
constexpr double kRetryAllowanceShare = 0.5;

// Share of a full retry budget that is reserved for non-repeatable requests.
// Their retries all follow an upstream's statement that it has not run the
// request.
constexpr double kReservedRetryShare = 0.25;

// Share of a full retry budget that hedges leave. A hedge makes a response
// earlier, while a request without a retry may get none: with the share above
// for hedges too, two in five upstreams hanging and a hedge share of 0.2,
// 0.47% of the model's requests got none instead of 0.18% without hedges.
constexpr double kReservedFromHedgesShare = 0.6;

// Time constant of the smoothed request rate from which the retry budget is
// refilled.
constexpr double kRateSmoothingSeconds = 5;

base::TimePoint QueueOrderKey(const QueuedRequest& queued_request) {
  const SlotRequest& slot_request = queued_request.slot_request;
  const base::Duration advance =
      std::max(base::Scale(slot_request.until_late, kPriorityAdvanceShare),
               kMinPriorityAdvance);
  return queued_request.late_at + advance * slot_request.priority;
}

bool CanBeOnTime(const ShardState& shard_state,
                 const QueuedRequest& queued_request,
                 base::TimePoint now) {
  const base::Duration duration = MeanDuration(
      shard_state, queued_request.slot_request.work_class, base::Duration(0));
  return now + duration <= queued_request.late_at;
}

bool IsPassedOver(const PassedOver& passed_over,
                  const QueuedRequest& queued_request) {
  return passed_over.daemons.contains(queued_request.daemon) ||
         (!passed_over.requests.empty() &&
          passed_over.requests.contains(
              {queued_request.daemon, queued_request.slot_request.attempt_id}));
}

// Returns the index of the request that is served in place of the one at
// `index`: the first one of the account that has been served least, among those
// that may overtake it.
std::size_t ChooseAccount(const ShardState& shard_state,
                          std::size_t index,
                          const PassedOver& passed_over,
                          base::TimePoint now) {
  const QueuedRequest& first = shard_state.queue[index];
  if (first.slot_request.account.value.empty())
    return index;
  const double first_share =
      ServedShare(shard_state, first.slot_request.account, now);
  // Usually nobody has to look at the rest of the queue.
  if (!GivesWay(first_share, 0))
    return index;
  const bool first_is_on_time = CanBeOnTime(shard_state, first, now);
  std::size_t chosen = index;
  double least_share = first_share;
  for (std::size_t i = index + 1; i < shard_state.queue.size(); ++i) {
    const QueuedRequest& queued_request = shard_state.queue[i];
    if (IsPassedOver(passed_over, queued_request) ||
        !IsSameRank(queued_request.slot_request, first.slot_request) ||
        (first_is_on_time && !CanBeOnTime(shard_state, queued_request, now)))
      continue;
    const double share =
        ServedShare(shard_state, queued_request.slot_request.account, now);
    if (GivesWay(first_share, share) && share < least_share) {
      chosen = i;
      least_share = share;
    }
  }
  return chosen;
}

base::Duration ExpectedWait(const ShardState& shard_state, std::size_t ahead) {
  const double rate = CompletionRate(shard_state);
  if (rate <= 0)
    return base::Duration::max();
  const double seconds = static_cast<double>(ahead + 1) / rate;
  return base::Duration(static_cast<std::int64_t>(seconds * 1e6));
}

double RetryBudgetLimit(const Settings& settings,
                        const ShardState& shard_state) {
  return kRetryAllowanceShare * settings.retry_allowance *
         shard_state.limit_share;
}

// Returns the share of a full retry budget, without the token that the request
// takes, that the request must leave.
double ReservedShare(const SlotRequest& slot_request) {
  if (!slot_request.work_class.repeatable)
    return 0;
  return slot_request.is_hedge ? kReservedFromHedgesShare : kReservedRetryShare;
}

void RefillRetryBudget(const Settings& settings,
                       ShardState& shard_state,
                       base::TimePoint now) {
  RetryBudget& budget = shard_state.retry_budget;
  if (!budget.initialized) {
    budget.initialized = true;
    budget.tokens = RetryBudgetLimit(settings, shard_state);
    budget.refilled_at = now;
    return;
  }
  const double seconds =
      static_cast<double>((now - budget.refilled_at).count()) / 1e6;
  budget.refilled_at = now;
  budget.tokens +=
      kRetryRatioShare * settings.retry_ratio * budget.request_rate * seconds;
  budget.tokens =
      std::min(budget.tokens, RetryBudgetLimit(settings, shard_state));
  budget.request_rate *= std::exp(-seconds / kRateSmoothingSeconds);
}

}  // namespace

bool MayQueue(const ShardState& shard_state,
              const SlotRequest& slot_request,
              base::TimePoint now) {
  if (shard_state.queue.size() >= kMaxQueuedRequests)
    return false;
  const auto unknown_duration = base::Duration(static_cast<std::int64_t>(
      kUnknownDurationShare *
      static_cast<double>(slot_request.until_late.count())));
  const base::Duration duration =
      MeanDuration(shard_state, slot_request.work_class, unknown_duration);
  const auto duration_with_margin = base::Duration(static_cast<std::int64_t>(
      kDurationMargin * static_cast<double>(duration.count())));
  const base::Duration wait =
      ExpectedWait(shard_state, CountAhead(shard_state, slot_request, now));
  if (wait == base::Duration::max())
    return false;
  // A request that has been granted an upstream before has already been held
  // for some time, and refusing it now would waste that time. It may therefore
  // wait until its deadline.
  const base::Duration limit = slot_request.is_retry || slot_request.was_granted
                                   ? slot_request.until_deadline
                                   : slot_request.until_late;
  return wait + duration_with_margin <= limit;
}

base::Duration ComputeRetryAfter(const ShardState& shard_state, double jitter) {
  const base::Duration wait =
      ExpectedWait(shard_state, shard_state.queue.size());
  if (wait > kMaxRetryAfter)
    return kMaxRetryAfter;
  const auto spread = base::Duration(
      static_cast<std::int64_t>(jitter * static_cast<double>(wait.count())));
  return std::clamp(wait / 2 + spread, kMinRetryAfter, kMaxRetryAfter);
}

void Enqueue(ShardState& shard_state, QueuedRequest queued_request) {
  const auto position = std::upper_bound(
      shard_state.queue.begin(), shard_state.queue.end(), queued_request,
      [](const QueuedRequest& a, const QueuedRequest& b) {
        return QueueOrderKey(a) < QueueOrderKey(b);
      });
  shard_state.queue.insert(position, std::move(queued_request));
}

std::optional<std::size_t> NextQueuedIndex(const ShardState& shard_state,
                                           const PassedOver& passed_over,
                                           base::TimePoint now) {
  std::optional<std::size_t> first;
  for (std::size_t i = 0; i < shard_state.queue.size(); ++i) {
    const QueuedRequest& queued_request = shard_state.queue[i];
    if (IsPassedOver(passed_over, queued_request))
      continue;
    first = first.value_or(i);
    if (CanBeOnTime(shard_state, queued_request, now))
      return ChooseAccount(shard_state, i, passed_over, now);
  }
  return first ? ChooseAccount(shard_state, *first, passed_over, now) : first;
}

bool TryTakeRetryToken(const Settings& settings,
                       ShardState& shard_state,
                       const SlotRequest& slot_request,
                       base::TimePoint now) {
  RefillRetryBudget(settings, shard_state, now);
  // A share of the whole budget would leave nothing for some requests of a
  // shard whose budget is a few tokens.
  const double reserved =
      ReservedShare(slot_request) *
      std::max(RetryBudgetLimit(settings, shard_state) - 1, 0.0);
  if (shard_state.retry_budget.tokens < 1 + reserved)
    return false;
  shard_state.retry_budget.tokens -= 1;
  return true;
}

void GiveBackRetryToken(ShardState& shard_state,
                        const SlotRequest& slot_request) {
  if (slot_request.is_retry)
    shard_state.retry_budget.tokens += 1;
}

void CountFirstAttempt(const Settings& settings,
                       ShardState& shard_state,
                       base::TimePoint now) {
  RefillRetryBudget(settings, shard_state, now);
  shard_state.retry_budget.request_rate += 1 / kRateSmoothingSeconds;
}

void InheritRetryBudget(const Settings& settings,
                        ShardState& shard_state,
                        double tokens,
                        double request_rate,
                        base::TimePoint now) {
  RefillRetryBudget(settings, shard_state, now);
  RetryBudget& budget = shard_state.retry_budget;
  budget.tokens = std::min(budget.tokens, tokens);
  budget.request_rate = std::max(budget.request_rate, request_rate);
}

}  // namespace poplarfork::dispatch
