#include "dispatch/dispatcher_func.h"

#include <algorithm>
#include <utility>

#include "base/rng_func.h"
#include "dispatch/admission_func.h"
#include "dispatch/crash_func.h"
#include "dispatch/evidence_func.h"
#include "dispatch/placement_func.h"
#include "dispatch/shard_state_func.h"
#include "fleet/shard_func.h"

namespace poplarfork::dispatch {

namespace {

// An attempt counts as stalled when it has taken this many mean durations of
// its class of work. About one successful response in fifty takes longer.
constexpr double kStallFactor = 3.2;
// A repeatable request is retried at another upstream earlier than that:
// running it twice costs little, and the response can still be on time.
constexpr double kRetryFactor = 2.4;
// Lower limit of the time after which an attempt is retried or counts as
// stalled.
constexpr base::Duration kMinStall = std::chrono::milliseconds(250);
// While the mean duration is not known, this share of the time that is left
// until the response counts as late is used instead.
constexpr double kUnknownStallShare = 0.9;
// Factor by which more time is allowed to upstreams that have just started.
constexpr double kColdFactor = 2.2;

// An attempt that has not been reported this long after its deadline is
// removed, because its report must have been lost.
constexpr base::Duration kReportDelay = std::chrono::milliseconds(400);

// A dispatcher that has received no slot request for a shard for this long is
// no longer the shard's dispatcher and leaves the health probes to the one that
// is.
constexpr base::Duration kActiveTime = std::chrono::seconds(3);

// A queued request is refused when even a run of this share of the mean
// duration would end after the request's deadline.
constexpr double kShortRunShare = 0.7;

// Retry-After while the service has no upstream or none is known yet. Upstreams
// that are starting write their entries within about this time.
constexpr base::Duration kNoUpstreamRetryAfter = std::chrono::milliseconds(500);

// Retry-After of requests that are refused permanently.
constexpr base::Duration kLongRetryAfter = std::chrono::seconds(30);

base::Duration Scale(base::Duration duration, double factor) {
  return base::Duration(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * factor));
}

bool IsActive(const ServiceState& service, base::TimePoint now) {
  return !service.waiting.empty() || now - service.asked_at < kActiveTime;
}

base::Duration StallTime(const ServiceState& service,
                         const UpstreamState& upstream,
                         const Ask& ask,
                         double factor,
                         base::TimePoint now) {
  const base::Duration unknown = Scale(ask.until_late, kUnknownStallShare);
  base::Duration stall =
      Scale(UsualDuration(service, ask.work, unknown), factor);
  if (service.paces.find(ask.work) == service.paces.end())
    stall = unknown;
  if (upstream.entry.cold_until > now)
    stall = Scale(stall, kColdFactor);
  return std::max(stall, kMinStall);
}

fleet::Shard ShardOf(const Ask& ask) {
  return {ask.work.service, ask.shard, ask.shards};
}

Refusal Refuse(const ServiceState* service,
               const Ask& ask,
               RefusalReason reason,
               base::Rng& rng) {
  Refusal refusal{ask.attempt, reason, kLongRetryAfter};
  if (service && reason != RefusalReason::kCrashesUpstreams)
    refusal.retry_after = RetryAfter(*service, base::UniformUnit(rng));
  return refusal;
}

void GrantTo(Dispatcher& dispatcher,
             ServiceState& service,
             UpstreamState& upstream,
             const base::DaemonId& daemon,
             const Ask& ask,
             base::Duration waited,
             base::TimePoint now,
             Actions& actions) {
  const base::Duration stall =
      StallTime(service, upstream, ask, kStallFactor, now);
  Running running;
  running.daemon = daemon;
  running.attempt = ask.attempt;
  running.upstream = upstream.entry.id;
  running.shard = ShardOf(ask);
  running.work = ask.work;
  running.fingerprint = ask.fingerprint;
  running.granted_at = now;
  running.stalls_at = now + stall;
  running.retry_at = now + StallTime(service, upstream, ask, kRetryFactor, now);
  running.expires_at = now + ask.until_deadline - waited + kReportDelay;
  dispatcher.running[{daemon, ask.attempt}] = running;
  ++upstream.running;
  ++upstream.granted_since_answer;
  upstream.granted_at.push_back(now);
  if (!ask.is_retry)
    CountFirstSend(dispatcher.settings, service, now);
  actions.push_back(SendGrant{
      daemon, Grant{ask.attempt, upstream.entry.id, upstream.entry.address,
                    running.retry_at - now, waited}});
}

// Grants free slots to queued requests.
void ServeWaiting(Dispatcher& dispatcher,
                  ServiceState& service,
                  base::TimePoint now,
                  base::Rng& rng,
                  Actions& actions) {
  while (!service.waiting.empty()) {
    const std::size_t next = NextWaiter(service, now);
    Waiter& waiter = service.waiting[next];
    UpstreamState* upstream =
        PlaceRequest(service, waiter.daemon, waiter.ask,
                     dispatcher.settings.floor_share, now, rng);
    if (!upstream)
      return;
    GrantTo(dispatcher, service, *upstream, waiter.daemon, waiter.ask,
            now - waiter.since, now, actions);
    service.waiting.erase(service.waiting.begin() +
                          static_cast<std::ptrdiff_t>(next));
  }
}

bool IsWaiting(const ServiceState& service,
               const base::DaemonId& daemon,
               AttemptId attempt) {
  return std::any_of(service.waiting.begin(), service.waiting.end(),
                     [&](const Waiter& waiter) {
                       return waiter.daemon == daemon &&
                              waiter.ask.attempt == attempt;
                     });
}

// Replies again to a slot request that has been received before. Returns false
// if there is no reply to repeat.
bool RepeatAnswer(const Dispatcher& dispatcher,
                  const base::DaemonId& daemon,
                  const Ask& ask,
                  const ServiceState& service,
                  Actions& actions) {
  const auto found = dispatcher.running.find({daemon, ask.attempt});
  if (found != dispatcher.running.end()) {
    const auto upstream = service.upstreams.find(found->second.upstream);
    if (upstream == service.upstreams.end())
      return false;
    actions.push_back(SendGrant{
        daemon, Grant{ask.attempt, found->second.upstream,
                      upstream->second.entry.address,
                      found->second.retry_at - found->second.granted_at,
                      base::Duration(0)}});
    return true;
  }
  if (!IsWaiting(service, daemon, ask.attempt))
    return false;
  actions.push_back(SendWaiting{daemon, Waiting{ask.attempt}});
  return true;
}

void EndRunning(ServiceState& service, const Running& running) {
  const auto found = service.upstreams.find(running.upstream);
  if (found == service.upstreams.end())
    return;
  UpstreamState& upstream = found->second;
  upstream.running -= upstream.running > 0 ? 1 : 0;
  const auto granted = std::find(upstream.granted_at.begin(),
                                 upstream.granted_at.end(), running.granted_at);
  if (granted != upstream.granted_at.end())
    upstream.granted_at.erase(granted);
  if (running.stall_counted)
    upstream.stalled -= upstream.stalled > 0 ? 1 : 0;
}

void ReviewRunning(Dispatcher& dispatcher,
                   base::TimePoint now,
                   Actions& actions) {
  for (auto item = dispatcher.running.begin();
       item != dispatcher.running.end();) {
    Running& running = item->second;
    const auto shard = dispatcher.shards.find(running.shard);
    if (shard == dispatcher.shards.end()) {
      item = dispatcher.running.erase(item);
      continue;
    }
    ServiceState& service = shard->second;
    if (running.expires_at <= now) {
      EndRunning(service, running);
      item = dispatcher.running.erase(item);
      continue;
    }
    const auto upstream = service.upstreams.find(running.upstream);
    if (running.stalls_at <= now && !running.stall_counted &&
        upstream != service.upstreams.end()) {
      running.stall_counted = true;
      const double weight = NoteDaemon(
          dispatcher, running.daemon, running.upstream, Outcome::kStalled, now);
      CountStall(upstream->second, running, weight, now, actions);
    }
    ++item;
  }
}

// Refuses queued requests that can no longer be completed before their
// deadline.
void RefuseExpired(ServiceState& service,
                   base::TimePoint now,
                   base::Rng& rng,
                   Actions& actions) {
  std::erase_if(service.waiting, [&](const Waiter& waiter) {
    const base::Duration run =
        UsualDuration(service, waiter.ask.work, base::Duration(0));
    if (now + Scale(run, kShortRunShare) < waiter.deadline)
      return false;
    actions.push_back(SendRefusal{
        waiter.daemon,
        Refuse(&service, waiter.ask, RefusalReason::kExpired, rng)});
    return true;
  });
}

}  // namespace

Actions OnAsk(Dispatcher& dispatcher,
              const base::DaemonId& daemon,
              const Ask& ask,
              base::TimePoint now,
              base::Rng& rng) {
  Actions actions;
  ServiceState* found = FindShard(dispatcher, ShardOf(ask), now);
  if (!dispatcher.ready || !found || found->upstreams.empty()) {
    const RefusalReason reason = dispatcher.ready ? RefusalReason::kNoUpstream
                                                  : RefusalReason::kNotReady;
    actions.push_back(SendRefusal{daemon, Refuse(nullptr, ask, reason, rng)});
    std::get<SendRefusal>(actions.back()).refusal.retry_after =
        kNoUpstreamRetryAfter;
    return actions;
  }
  ServiceState& service = *found;
  service.asked_at = now;
  if (RepeatAnswer(dispatcher, daemon, ask, service, actions))
    return actions;
  if (CrashesUpstreams(dispatcher, ask)) {
    actions.push_back(SendRefusal{
        daemon, Refuse(&service, ask, RefusalReason::kCrashesUpstreams, rng)});
    return actions;
  }
  if (ask.is_retry && !TakeRetry(dispatcher.settings, service, ask.work, now)) {
    actions.push_back(SendRefusal{
        daemon, Refuse(&service, ask, RefusalReason::kRetryBudget, rng)});
    return actions;
  }
  // Queued requests are served first. The new request can still get a slot if
  // the free ones cannot be used for the next queued request.
  ServeWaiting(dispatcher, service, now, rng, actions);
  UpstreamState* upstream = PlaceRequest(
      service, daemon, ask, dispatcher.settings.floor_share, now, rng);
  if (upstream) {
    GrantTo(dispatcher, service, *upstream, daemon, ask, base::Duration(0), now,
            actions);
    return actions;
  }
  if (!MayWait(service, ask)) {
    actions.push_back(SendRefusal{
        daemon, Refuse(&service, ask, RefusalReason::kOverload, rng)});
    return actions;
  }
  Enqueue(service, Waiter{daemon, ask, now, now + ask.until_late,
                          now + ask.until_deadline});
  actions.push_back(SendWaiting{daemon, Waiting{ask.attempt}});
  return actions;
}

Actions OnReport(Dispatcher& dispatcher,
                 const base::DaemonId& daemon,
                 const Report& report,
                 base::TimePoint now,
                 base::Rng& rng) {
  Actions actions;
  const auto found = dispatcher.running.find({daemon, report.attempt});
  if (found == dispatcher.running.end() ||
      found->second.upstream != report.upstream)
    return actions;
  const Running running = found->second;
  dispatcher.running.erase(found);
  const auto shard = dispatcher.shards.find(running.shard);
  if (shard == dispatcher.shards.end())
    return actions;
  ServiceState& service = shard->second;
  EndRunning(service, running);
  const auto place = service.upstreams.find(running.upstream);
  if (place == service.upstreams.end())
    return actions;
  UpstreamState& upstream = place->second;
  NoteCrash(dispatcher, upstream, running, report.outcome, now);
  const double weight =
      NoteDaemon(dispatcher, daemon, running.upstream, report.outcome, now);
  CountOutcome(service, upstream, running, report, weight, now, actions);
  ServeWaiting(dispatcher, service, now, rng, actions);
  return actions;
}

void OnWithdrawal(Dispatcher& dispatcher,
                  const base::DaemonId& daemon,
                  const Withdrawal& withdrawal) {
  for (auto& [shard, service] : dispatcher.shards) {
    std::erase_if(service.waiting, [&](const Waiter& waiter) {
      return waiter.daemon == daemon &&
             waiter.ask.attempt == withdrawal.attempt;
    });
  }
}

Actions OnUpstream(Dispatcher& dispatcher,
                   const fleet::UpstreamRecord& record,
                   base::TimePoint now,
                   base::Rng& rng) {
  Actions actions;
  const fleet::UpstreamEntry& entry = record.entry;
  if (record.removed)
    dispatcher.upstreams.erase(entry.id);
  else
    dispatcher.upstreams[entry.id] = entry;
  // The state of a service with one shard is created before its first slot
  // request, so that the first request is not delayed by it.
  if (!record.removed)
    dispatcher.shards.try_emplace({entry.service, 0, 1});
  for (auto& [shard, service] : dispatcher.shards) {
    if (shard.service != entry.service || !fleet::BelongsTo(entry.id, shard))
      continue;
    if (record.removed) {
      service.upstreams.erase(entry.id);
      continue;
    }
    TakeEntry(service, entry, now);
    ServeWaiting(dispatcher, service, now, rng, actions);
  }
  return actions;
}

Actions OnProbe(Dispatcher& dispatcher,
                const base::ServiceId& service,
                const base::UpstreamId& upstream,
                bool healthy,
                base::TimePoint now) {
  Actions actions;
  for (auto& [shard, state] : dispatcher.shards) {
    if (shard.service != service)
      continue;
    const auto place = state.upstreams.find(upstream);
    if (place != state.upstreams.end())
      CountProbe(place->second, healthy, now, actions);
  }
  return actions;
}

Actions OnTick(Dispatcher& dispatcher, base::TimePoint now, base::Rng& rng) {
  Actions actions;
  ReviewRunning(dispatcher, now, actions);
  ForgetCrashes(dispatcher, now);
  ForgetShards(dispatcher, now);
  for (auto& [shard, service] : dispatcher.shards) {
    if (!IsActive(service, now))
      continue;
    for (auto& [upstream_id, upstream] : service.upstreams)
      ReviewSuspension(upstream, now, actions);
    RefuseExpired(service, now, rng, actions);
    ServeWaiting(dispatcher, service, now, rng, actions);
  }
  return actions;
}

bool NeedsTick(const Dispatcher& dispatcher, base::TimePoint now) {
  if (!dispatcher.running.empty())
    return true;
  for (const auto& [shard, service] : dispatcher.shards) {
    if (!service.waiting.empty())
      return true;
    if (!IsActive(service, now))
      continue;
    for (const auto& [upstream_id, upstream] : service.upstreams) {
      if (upstream.standing == Standing::kSuspended)
        return true;
    }
  }
  return false;
}

}  // namespace poplarfork::dispatch
