#include "release/store_call_queue_func.h"

#include <algorithm>
#include <utility>

#include "base/rng_func.h"
#include "release/release_type.h"

namespace poplarfork::release {

namespace {

// Time after a call's own timeout for which its reply is still awaited, because
// the driver's timers are not exact.
constexpr base::Duration kReplySlack = std::chrono::milliseconds(500);

void RefillTokens(StoreCallQueue& store_calls,
                  const ReleaseSettings& settings,
                  base::TimePoint now) {
  const std::chrono::duration<double> elapsed = now - store_calls.refilled_at;
  const double new_tokens =
      store_calls.tokens + elapsed.count() * settings.store_calls_per_second;
  store_calls.tokens = std::min(new_tokens, settings.store_call_burst);
  store_calls.refilled_at = now;
}

bool IsPublishPurpose(StoreCallPurpose purpose) {
  return purpose == StoreCallPurpose::kPublishRead ||
         purpose == StoreCallPurpose::kPublishCreate;
}

void SendCall(Context& context, PendingCall pending) {
  StoreCallQueue& store_calls = context.state.store_calls;
  store_calls.tokens -= 1;
  ++store_calls.sent_count;
  pending.deadline = context.now + pending.call.timeout + kReplySlack;
  context.actions.emplace_back(pending.call);
  // The value is not needed once the call has been sent, since a retry builds
  // it again.
  pending.call.value.clear();
  const StoreCallId id = pending.call.id;
  store_calls.outstanding.emplace(id, std::move(pending));
}

}  // namespace

StoreCallId IssueStoreCall(Context& context,
                           StoreCallPurpose purpose,
                           StoreCall call) {
  StoreCallQueue& store_calls = context.state.store_calls;
  const ReleaseSettings& settings = context.state.settings;
  const StoreCallId id{store_calls.next_call_id++};
  call.id = id;
  if (call.timeout == base::Duration::zero())
    call.timeout = settings.store_timeout;
  const base::TimePoint deadline = context.now + call.timeout + kReplySlack;
  PendingCall pending{purpose, std::move(call), deadline};
  if (IsPublishPurpose(purpose))
    store_calls.queued.push_front(std::move(pending));
  else
    store_calls.queued.push_back(std::move(pending));
  SendQueuedCalls(context);
  return id;
}

void SendQueuedCalls(Context& context) {
  StoreCallQueue& store_calls = context.state.store_calls;
  RefillTokens(store_calls, context.state.settings, context.now);
  while (!store_calls.queued.empty() && store_calls.tokens >= 1) {
    PendingCall pending = std::move(store_calls.queued.front());
    store_calls.queued.pop_front();
    SendCall(context, std::move(pending));
  }
}

std::vector<PendingCall> TakeOverdueCalls(Context& context) {
  StoreCallQueue& store_calls = context.state.store_calls;
  std::vector<PendingCall> overdue;
  const auto is_overdue = [&](const PendingCall& pending) {
    return pending.deadline <= context.now;
  };
  for (const PendingCall& pending : store_calls.queued) {
    if (is_overdue(pending))
      overdue.push_back(pending);
  }
  std::erase_if(store_calls.queued, is_overdue);
  for (const auto& [id, pending] : store_calls.outstanding) {
    if (is_overdue(pending))
      overdue.push_back(pending);
  }
  std::erase_if(store_calls.outstanding,
                [&](const auto& entry) { return is_overdue(entry.second); });
  return overdue;
}

bool HasPendingCall(const StoreCallQueue& store_calls,
                    StoreCallPurpose purpose) {
  const bool is_queued = std::ranges::any_of(
      store_calls.queued,
      [&](const PendingCall& pending) { return pending.purpose == purpose; });
  return is_queued ||
         std::ranges::any_of(store_calls.outstanding, [&](const auto& entry) {
           return entry.second.purpose == purpose;
         });
}

base::Duration BackoffDelay(base::Duration initial_delay,
                            base::Duration max_delay,
                            std::uint32_t attempt,
                            base::Rng& rng) {
  constexpr std::uint32_t kMaxDoublings = 20;
  const std::uint32_t doublings = std::min(attempt, kMaxDoublings);
  const base::Duration full_delay =
      std::min(initial_delay * (std::int64_t{1} << doublings), max_delay);
  const double factor = 0.5 + 0.5 * base::Uniform01(rng);
  const double delay = static_cast<double>(full_delay.count()) * factor;
  return base::Duration(static_cast<base::Duration::rep>(delay));
}

}  // namespace poplarfork::release
