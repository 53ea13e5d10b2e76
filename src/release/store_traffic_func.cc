#include "release/store_traffic_func.h"

#include <algorithm>
#include <utility>

#include "base/rng_func.h"
#include "release/release_type.h"

namespace poplarfork::release {

namespace {

// Time after a call's own timeout for which its reply is still awaited, because
// the driver's timers are not exact.
constexpr base::Duration kAnswerSlack = std::chrono::milliseconds(500);

void Refill(StoreTraffic& traffic,
            const ReleaseSettings& settings,
            base::TimePoint now) {
  const std::chrono::duration<double> elapsed = now - traffic.refilled;
  const double refilled =
      traffic.tokens + elapsed.count() * settings.store_calls_per_second;
  traffic.tokens = std::min(refilled, settings.store_call_burst);
  traffic.refilled = now;
}

bool IsOfPublication(StorePurpose purpose) {
  return purpose == StorePurpose::kPublishRead ||
         purpose == StorePurpose::kPublishCreate;
}

void Send(Context& context, PendingCall pending) {
  StoreTraffic& traffic = context.state.traffic;
  traffic.tokens -= 1;
  ++traffic.sent;
  pending.deadline = context.now + pending.call.timeout + kAnswerSlack;
  context.actions.emplace_back(pending.call);
  // The value is not needed once the call has been sent, since a retry builds
  // it again.
  pending.call.value.clear();
  const StoreCallId id = pending.call.id;
  traffic.outstanding.emplace(id, std::move(pending));
}

}  // namespace

StoreCallId IssueStoreCall(Context& context,
                           StorePurpose purpose,
                           StoreCall call) {
  StoreTraffic& traffic = context.state.traffic;
  const ReleaseSettings& settings = context.state.settings;
  const StoreCallId id{traffic.next_call++};
  call.id = id;
  if (call.timeout == base::Duration::zero())
    call.timeout = settings.store_timeout;
  const base::TimePoint deadline = context.now + call.timeout + kAnswerSlack;
  PendingCall pending{purpose, std::move(call), deadline};
  if (IsOfPublication(purpose))
    traffic.waiting.push_front(std::move(pending));
  else
    traffic.waiting.push_back(std::move(pending));
  SendWaitingCalls(context);
  return id;
}

void SendWaitingCalls(Context& context) {
  StoreTraffic& traffic = context.state.traffic;
  Refill(traffic, context.state.settings, context.now);
  while (!traffic.waiting.empty() && traffic.tokens >= 1) {
    PendingCall pending = std::move(traffic.waiting.front());
    traffic.waiting.pop_front();
    Send(context, std::move(pending));
  }
}

std::vector<PendingCall> TakeOverdueCalls(Context& context) {
  StoreTraffic& traffic = context.state.traffic;
  std::vector<PendingCall> overdue;
  const auto is_overdue = [&](const PendingCall& pending) {
    return pending.deadline <= context.now;
  };
  for (const PendingCall& pending : traffic.waiting) {
    if (is_overdue(pending))
      overdue.push_back(pending);
  }
  std::erase_if(traffic.waiting, is_overdue);
  for (const auto& [id, pending] : traffic.outstanding) {
    if (is_overdue(pending))
      overdue.push_back(pending);
  }
  std::erase_if(traffic.outstanding,
                [&](const auto& entry) { return is_overdue(entry.second); });
  return overdue;
}

bool IsCalling(const StoreTraffic& traffic, StorePurpose purpose) {
  const bool waits = std::ranges::any_of(
      traffic.waiting,
      [&](const PendingCall& pending) { return pending.purpose == purpose; });
  return waits ||
         std::ranges::any_of(traffic.outstanding, [&](const auto& entry) {
           return entry.second.purpose == purpose;
         });
}

base::Duration Backoff(base::Duration first,
                       base::Duration longest,
                       std::uint32_t attempt,
                       base::Rng& rng) {
  constexpr std::uint32_t kMostDoublings = 20;
  const std::uint32_t doublings = std::min(attempt, kMostDoublings);
  const base::Duration full =
      std::min(first * (std::int64_t{1} << doublings), longest);
  const double factor = 0.5 + 0.5 * base::UniformUnit(rng);
  const double wait = static_cast<double>(full.count()) * factor;
  return base::Duration(static_cast<base::Duration::rep>(wait));
}

}  // namespace poplarfork::release
