#include "gateway/request_driver.h"

#include <algorithm>
#include <utility>

#include "base/hash_func.h"
#include "clock/now_func.h"
#include "datagram/message_type.h"
#include "fleet/configuration_func.h"
#include "fleet/shard_func.h"
#include "fleet/split_func.h"
#include "fleet/view_func.h"
#include "gateway/answer_func.h"
#include "gateway/attempt_driver.h"
#include "gateway/log_func.h"
#include "gateway/peer_driver.h"
#include "gateway/shutdown.h"
#include "metrics/registry_func.h"
#include "platform/request_func.h"
#include "request/request_func.h"

namespace poplarfork::gateway {

namespace {

namespace http = boost::beast::http;
using request::RequestNumber;

// The final response is sent this long before the caller's time ends, because
// the caller stops waiting by its own clock.
constexpr base::Duration kAnswerMargin = std::chrono::milliseconds(20);
// Value of the Retry-After field while this daemon has no configuration or
// drains.
constexpr base::Duration kNotReadyRetryAfter = std::chrono::milliseconds(500);

void Perform(Gateway& gateway,
             RequestNumber number,
             const request::Actions& actions);
void ArmRequestTimer(Gateway& gateway, base::TimePoint wake);

LiveRequest* Find(Gateway& gateway, RequestNumber number) {
  const auto found = gateway.requests.find(number);
  return found == gateway.requests.end() ? nullptr : found->second.get();
}

LiveRequest* FindByAttempt(Gateway& gateway, dispatch::AttemptId attempt) {
  const auto found = gateway.attempts.find(attempt);
  return found == gateway.attempts.end() ? nullptr
                                         : Find(gateway, found->second);
}

// Returns the slots of the shards of a service. They are computed again after
// the upstreams of the service have changed.
const fleet::ShardSlots& ShardsOf(Gateway& gateway,
                                  const base::ServiceId& service) {
  const auto [place, added] = gateway.shard_slots.try_emplace(service);
  if (added)
    place->second = fleet::ComputeShardSlots(gateway.view, service);
  return place->second;
}

// Returns the access to the state of this daemon that the request logic needs.
request::Context MakeContext(Gateway& gateway, RequestNumber number) {
  request::Context context;
  context.data_centre = {gateway.settings.data_centre};
  context.find_dispatcher = [&gateway](const fleet::Shard& shard,
                                       const base::DaemonId* silent) {
    const auto ranked = fleet::RankMembers(
        gateway.view, fleet::DispatcherKey(shard), 2, clock::Now());
    const bool take_next =
        silent && ranked.size() > 1 && ranked.front() == *silent;
    return take_next ? ranked[1] : ranked.front();
  };
  context.make_attempt_id = [&gateway, number] {
    const dispatch::AttemptId attempt{gateway.next_attempt++};
    gateway.attempts[attempt] = number;
    return attempt;
  };
  return context;
}

void OnRequestTimer(Gateway& gateway) {
  gateway.request_timer_at = base::TimePoint::max();
  const base::TimePoint now = clock::Now();
  std::vector<RequestNumber> due;
  base::TimePoint next = base::TimePoint::max();
  for (const auto& [number, live] : gateway.requests) {
    const base::TimePoint wake = request::NextTimerAt(live->core);
    if (wake <= now)
      due.push_back(number);
    else
      next = std::min(next, wake);
  }
  ArmRequestTimer(gateway, next);
  for (const RequestNumber number : due) {
    if (LiveRequest* live = Find(gateway, number))
      Perform(gateway, number,
              request::OnTimer(live->core, MakeContext(gateway, number), now));
  }
}

void ArmRequestTimer(Gateway& gateway, base::TimePoint wake) {
  if (wake >= gateway.request_timer_at)
    return;
  gateway.request_timer_at = wake;
  gateway.request_timer.expires_after(
      std::max(wake - clock::Now(), base::Duration(0)));
  gateway.request_timer.async_wait(
      [&gateway](const boost::system::error_code& error) {
        if (!error)
          OnRequestTimer(gateway);
      });
}

void LogAnswer(Gateway& gateway,
               const LiveRequest& live,
               unsigned status,
               const char* outcome) {
  const base::Duration duration = clock::Now() - live.core.arrived_at;
  Log(gateway, "answered",
      {{"request", live.request_id},
       {"route", live.route},
       {"service", live.service},
       {"status", status},
       {"outcome", outcome},
       {"duration_ms", ToMilliseconds(duration)},
       {"asks", live.core.slot_requests},
       {"sends", live.core.sends},
       {"unreachable", live.core.failed_connections},
       {"dispatcher", live.core.asked_dispatcher.value},
       {"configuration", live.configuration_version}});
  metrics::Count(gateway.metrics, "requests_total{service=\"" + live.service +
                                      "\",outcome=\"" + outcome + "\"}");
  metrics::Observe(gateway.metrics,
                   "request_duration{service=\"" + live.service + "\"}",
                   duration);
}

// Erases a request whose final response has been sent, and its attempts.
void Finish(Gateway& gateway, RequestNumber number) {
  const auto found = gateway.requests.find(number);
  if (found == gateway.requests.end())
    return;
  gateway.by_session.erase(found->second->session.get());
  std::erase_if(gateway.attempts,
                [number](const auto& item) { return item.second == number; });
  gateway.requests.erase(found);
}

// Sends a complete response of an upstream to the caller.
void Deliver(Gateway& gateway,
             LiveRequest& live,
             upstream::WholeAnswer answer) {
  const unsigned status = answer.header.result_int();
  LogAnswer(gateway, live, status,
            status < 400 ? "served" : "upstream_failure");
  live.session->Respond(
      platform::MakeCallerAnswer(answer.header, std::move(answer.body)));
}

// The overloads of ExecuteAction() carry out one action of a request each.
void Do(Gateway& gateway,
        LiveRequest&,
        const request::SendSlotRequest& action) {
  SendTo(gateway, action.to, action.slot_request);
}

void Do(Gateway& gateway,
        LiveRequest& live,
        const request::SuspectDispatcher& action) {
  fleet::MarkMemberSuspected(gateway.view, action.daemon, clock::Now());
  Log(gateway, "dispatcher_suspected",
      {{"request", live.request_id},
       {"service", live.service},
       {"dispatcher", action.daemon.value}});
  metrics::Count(gateway.metrics, "dispatchers_suspected_total");
}

void Do(Gateway& gateway,
        LiveRequest& live,
        const request::StartAttempt& action) {
  const RequestNumber number = live.core.arrival.number;
  Log(gateway, "placed",
      {{"request", live.request_id},
       {"upstream", action.attempt.upstream.value},
       {"dispatcher", action.attempt.dispatcher.value},
       {"send", live.core.sends},
       {"since_arrival_ms",
        ToMilliseconds(clock::Now() - live.core.arrived_at)},
       {"waited_ms", ToMilliseconds(action.attempt.waited)},
       {"time_left_ms", ToMilliseconds(action.time_left)},
       {"view_revision", gateway.view.as_of.value}});
  RunAttempt(gateway, live, action,
             [&gateway, number](const request::AttemptEnd& end) {
               LiveRequest* owner = Find(gateway, number);
               if (!owner)
                 return;
               Perform(gateway, number,
                       request::OnAttemptEnd(owner->core, end,
                                             MakeContext(gateway, number),
                                             clock::Now()));
             });
}

void Do(Gateway&, LiveRequest& live, const request::CancelAttempt&) {
  CancelRunningAttempt(live);
}

void Do(Gateway& gateway,
        LiveRequest&,
        const request::SendAttemptReport& action) {
  SendTo(gateway, action.to, action.report);
}

void Do(Gateway& gateway, LiveRequest&, const request::SendWithdrawal& action) {
  SendTo(gateway, action.to, action.withdrawal);
}

void Do(Gateway& gateway, LiveRequest& live, const request::DeliverResponse&) {
  Deliver(gateway, live, std::move(*live.answer));
}

void Do(Gateway& gateway,
        LiveRequest& live,
        const request::DeliverFailureResponse&) {
  Deliver(gateway, live, std::move(*live.kept_failure));
}

void Do(Gateway& gateway,
        LiveRequest& live,
        const request::RespondWithFailure& action) {
  edge::HttpResponse answer = MakeFailureAnswer(action);
  LogAnswer(gateway, live, answer.result_int(), FailureName(action.failure));
  live.session->Respond(std::move(answer));
}

void Perform(Gateway& gateway,
             RequestNumber number,
             const request::Actions& actions) {
  LiveRequest* live = Find(gateway, number);
  if (!live)
    return;
  for (const request::Action& action : actions)
    std::visit([&](const auto& body) { Do(gateway, *live, body); }, action);
  if (live->core.phase == request::Phase::kEnded) {
    Finish(gateway, number);
    return;
  }
  ArmRequestTimer(gateway, request::NextTimerAt(live->core));
}

// Returns a hash of the caller's IP address, the method, the target and the
// body. A request that crashed an upstream and is sent again has the same hash.
dispatch::Fingerprint FingerprintOf(const edge::Session& session,
                                    const edge::HttpRequest& http) {
  const std::string& caller = session.Caller();
  std::string text = caller.substr(0, caller.rfind(':'));
  text += '\n';
  text += std::string(http.method_string());
  text += '\n';
  text += std::string(http.target());
  text += '\n';
  text += http.body();
  return {base::StableHash(text)};
}

// Rejects a request before an upstream is chosen for it.
void Reject(Gateway& gateway,
            edge::Session& session,
            const edge::HttpRequest& http,
            http::status status,
            const char* reason) {
  const platform::CallerFields fields = platform::ReadCallerFields(http);
  edge::HttpResponse answer = MakeProblem(status, reason);
  if (status == http::status::service_unavailable)
    answer.set(http::field::retry_after,
               std::to_string(ToMilliseconds(kNotReadyRetryAfter) / 1000));
  Log(gateway, "rejected",
      {{"request", fields.request_id},
       {"host", std::string(http[http::field::host])},
       {"target", std::string(http.target().substr(0, 200))},
       {"status", static_cast<unsigned>(status)},
       {"reason", reason},
       {"configuration",
        gateway.configuration ? gateway.configuration->version.value : 0}});
  metrics::Count(gateway.metrics,
                 std::string("rejected_total{reason=\"") + reason + "\"}");
  session.Respond(std::move(answer));
}

}  // namespace

void OnCallerRequest(Gateway& gateway,
                     const std::shared_ptr<edge::Session>& session,
                     edge::HttpRequest http) {
  if (!gateway.configuration) {
    Reject(gateway, *session, http, http::status::service_unavailable,
           "no_configuration");
    return;
  }
  if (!TakesRequests(gateway)) {
    Reject(gateway, *session, http, http::status::service_unavailable,
           "draining");
    return;
  }
  const auto host = http[http::field::host];
  const auto target = http.target();
  const fleet::Route* route =
      fleet::FindRoute(*gateway.configuration, {host.data(), host.size()},
                       {target.data(), target.size()});
  if (!route) {
    Reject(gateway, *session, http, http::status::not_found, "no_route");
    return;
  }
  const base::TimePoint now = clock::Now();
  const platform::CallerFields fields = platform::ReadCallerFields(http);
  const RequestNumber number{gateway.next_request++};
  auto live = std::make_unique<LiveRequest>();
  live->session = session;
  live->request_id = fields.request_id;
  live->route = route->name;
  live->configuration_version = gateway.configuration->version.value;
  request::Arrival arrival;
  arrival.number = number;
  arrival.work_class = {
      fleet::ChooseTarget(gateway.splits, *route, gateway.rng),
      route->repeatable, route->priority};
  live->service = arrival.work_class.service.value;
  arrival.shard_slots = ShardsOf(gateway, arrival.work_class.service);
  arrival.fingerprint = FingerprintOf(*session, http);
  arrival.late_at = now + route->latency_objective;
  const base::Duration callers_time =
      fields.time_left
          ? std::max(*fields.time_left - kAnswerMargin, base::Duration(0))
          : route->timeout;
  arrival.deadline = now + std::min(route->timeout, callers_time);
  arrival.max_attempts = route->max_attempts;
  live->http = std::move(http);
  LiveRequest& started = *live;
  gateway.requests.emplace(number, std::move(live));
  gateway.by_session[session.get()] = number;
  Perform(gateway, number,
          request::BeginRequest(started.core, arrival,
                                MakeContext(gateway, number), now));
}

void OnCallerGone(Gateway& gateway, const edge::Session& session) {
  const auto found = gateway.by_session.find(&session);
  if (found == gateway.by_session.end())
    return;
  const RequestNumber number = found->second;
  LiveRequest* live = Find(gateway, number);
  if (!live)
    return;
  LogAnswer(gateway, *live, 0, "caller_gone");
  Perform(gateway, number, request::OnCallerDisconnected(live->core));
}

void OnGrant(Gateway& gateway,
             const base::DaemonId& from,
             const dispatch::Grant& grant) {
  LiveRequest* live = FindByAttempt(gateway, grant.attempt_id);
  if (!live) {
    dispatch::AttemptReport unused;
    unused.attempt_id = grant.attempt_id;
    unused.upstream = grant.upstream;
    SendTo(gateway, from, unused);
    return;
  }
  Perform(gateway, live->core.arrival.number,
          request::OnGrant(live->core, from, grant, clock::Now()));
}

void OnWaiting(Gateway& gateway, const dispatch::QueuedNotice& waiting) {
  LiveRequest* live = FindByAttempt(gateway, waiting.attempt_id);
  if (live)
    Perform(gateway, live->core.arrival.number,
            request::OnQueuedNotice(live->core, waiting, clock::Now()));
}

void OnRefusal(Gateway& gateway,
               const base::DaemonId& from,
               const dispatch::Refusal& refusal) {
  LiveRequest* live = FindByAttempt(gateway, refusal.attempt_id);
  if (!live)
    return;
  Log(gateway, "refused",
      {{"request", live->request_id},
       {"dispatcher", from.value},
       {"reason", RefusalName(refusal.reason)},
       {"retry_after_ms", ToMilliseconds(refusal.retry_after)},
       {"service", live->service}});
  const RequestNumber number = live->core.arrival.number;
  Perform(gateway, number,
          request::OnRefusal(live->core, refusal, MakeContext(gateway, number),
                             clock::Now()));
}

}  // namespace poplarfork::gateway
