#include "gateway/request_driver.h"

#include <algorithm>
#include <utility>

#include "base/hash_func.h"
#include "clock/now_func.h"
#include "datagram/message_type.h"
#include "dispatch/crash_func.h"
#include "fleet/configuration_func.h"
#include "fleet/shard_func.h"
#include "fleet/traffic_split_func.h"
#include "fleet/view_func.h"
#include "gateway/attempt_driver.h"
#include "gateway/dispatch_driver.h"
#include "gateway/log_func.h"
#include "gateway/memory_driver.h"
#include "gateway/peer_driver.h"
#include "gateway/response_func.h"
#include "gateway/shutdown.h"
#include "metrics/registry_func.h"
#include "platform/request_func.h"
#include "request/fingerprint_func.h"
#include "request/request_func.h"

namespace poplarfork::gateway {

namespace {

namespace http = boost::beast::http;
using request::RequestNumber;

// The final response is sent this long before the caller's time ends, because
// the caller stops waiting by its own clock.
constexpr base::Duration kResponseMargin = std::chrono::milliseconds(20);
// Value of the Retry-After field while this daemon has no configuration or
// drains.
constexpr base::Duration kNotReadyRetryAfter = std::chrono::milliseconds(500);
// Value of the Retry-After field while the buffers are full. Responses to slow
// callers are sent within seconds.
constexpr base::Duration kMemoryPressureRetryAfter = std::chrono::seconds(1);

void ExecuteActions(Gateway& gateway,
                    RequestNumber number,
                    const request::Actions& actions);
void ArmRequestTimer(Gateway& gateway, base::TimePoint timer_at);

ActiveRequest* FindActiveRequest(Gateway& gateway, RequestNumber number) {
  const auto found = gateway.requests.find(number);
  return found == gateway.requests.end() ? nullptr : found->second.get();
}

ActiveRequest* FindActiveRequestByAttempt(Gateway& gateway,
                                          dispatch::AttemptId attempt) {
  const auto found = gateway.requests_by_attempt.find(attempt);
  return found == gateway.requests_by_attempt.end()
             ? nullptr
             : FindActiveRequest(gateway, found->second);
}

// Returns the slots of the shards of a service. They are computed again after
// the upstreams of the service have changed.
const fleet::ShardSlots& GetShardSlots(Gateway& gateway,
                                       const base::ServiceId& service) {
  const auto [entry, inserted] = gateway.shard_slots.try_emplace(service);
  if (inserted)
    entry->second = fleet::ComputeShardSlots(gateway.view, service);
  return entry->second;
}

// Returns the data and callbacks through which the request logic uses the state
// of this daemon.
request::Context MakeContext(Gateway& gateway, RequestNumber number) {
  request::Context context;
  context.data_centre = {gateway.settings.data_centre};
  context.find_dispatcher = [&gateway](
                                const fleet::Shard& shard,
                                const base::DaemonId* silent_dispatcher) {
    const auto ranked = fleet::RankMembers(
        gateway.view, fleet::DispatcherKey(shard), 2, clock::Now());
    const bool take_next = silent_dispatcher && ranked.size() > 1 &&
                           ranked.front() == *silent_dispatcher;
    return take_next ? ranked[1] : ranked.front();
  };
  context.make_attempt_id = [&gateway, number] {
    const dispatch::AttemptId attempt{gateway.next_attempt_id++};
    gateway.requests_by_attempt[attempt] = number;
    return attempt;
  };
  return context;
}

void OnRequestTimer(Gateway& gateway) {
  gateway.request_timer_expiry = base::TimePoint::max();
  const base::TimePoint now = clock::Now();
  std::vector<RequestNumber> due;
  base::TimePoint next_timer_at = base::TimePoint::max();
  for (const auto& [number, active_request] : gateway.requests) {
    const base::TimePoint timer_at =
        request::NextTimerAt(active_request->state);
    if (timer_at <= now)
      due.push_back(number);
    else
      next_timer_at = std::min(next_timer_at, timer_at);
  }
  ArmRequestTimer(gateway, next_timer_at);
  for (const RequestNumber number : due) {
    if (ActiveRequest* active_request = FindActiveRequest(gateway, number))
      ExecuteActions(gateway, number,
                     request::OnTimer(active_request->state,
                                      MakeContext(gateway, number), now));
  }
}

void ArmRequestTimer(Gateway& gateway, base::TimePoint timer_at) {
  if (timer_at >= gateway.request_timer_expiry)
    return;
  gateway.request_timer_expiry = timer_at;
  gateway.request_timer.expires_after(
      std::max(timer_at - clock::Now(), base::Duration(0)));
  gateway.request_timer.async_wait(
      [&gateway](const boost::system::error_code& error) {
        if (!error)
          OnRequestTimer(gateway);
      });
}

void LogResponse(Gateway& gateway,
                 const ActiveRequest& active_request,
                 unsigned status,
                 const char* outcome) {
  const base::Duration duration =
      clock::Now() - active_request.state.arrived_at;
  Log(gateway, "answered",
      {{"request", active_request.request_id},
       {"route", active_request.route_name},
       {"service", active_request.service_name},
       {"status", status},
       {"outcome", outcome},
       {"duration_ms", ToMilliseconds(duration)},
       {"asks", active_request.state.slot_requests},
       {"sends", active_request.state.sends},
       {"unreachable", active_request.state.failed_connections},
       {"dispatcher", active_request.state.asked_dispatcher.value},
       {"configuration", active_request.configuration_version}});
  metrics::IncrementCounter(gateway.metrics, "requests_total{service=\"" +
                                                 active_request.service_name +
                                                 "\",outcome=\"" + outcome +
                                                 "\"}");
  metrics::Observe(
      gateway.metrics,
      "request_duration{service=\"" + active_request.service_name + "\"}",
      duration);
}

// Erases a request whose final response has been sent, and its attempts.
void EraseRequest(Gateway& gateway, RequestNumber number) {
  const auto found = gateway.requests.find(number);
  if (found == gateway.requests.end())
    return;
  gateway.requests_by_exchange.erase(found->second->caller_exchange.get());
  std::erase_if(gateway.requests_by_attempt,
                [number](const auto& item) { return item.second == number; });
  gateway.requests.erase(found);
}

// Sends a complete response of an upstream to the caller.
void DeliverResponse(Gateway& gateway,
                     ActiveRequest& active_request,
                     upstream::BufferedResponse response) {
  const unsigned status = response.header.result_int();
  LogResponse(gateway, active_request, status,
              status < 400 ? "served" : "upstream_failure");
  active_request.caller_exchange->Respond(
      platform::MakeCallerResponse(response.header, std::move(response.body)));
}

// The overloads of ExecuteAction() carry out one action of a request each.
void ExecuteAction(Gateway& gateway,
                   ActiveRequest&,
                   const request::SendSlotRequest& action) {
  SendToDaemon(gateway, action.to, action.slot_request);
}

void ExecuteAction(Gateway& gateway,
                   ActiveRequest& active_request,
                   const request::SuspectDispatcher& action) {
  fleet::MarkMemberSuspected(gateway.view, action.daemon, clock::Now());
  Log(gateway, "dispatcher_suspected",
      {{"request", active_request.request_id},
       {"service", active_request.service_name},
       {"dispatcher", action.daemon.value}});
  metrics::IncrementCounter(gateway.metrics, "dispatchers_suspected_total");
}

void ExecuteAction(Gateway& gateway,
                   ActiveRequest& active_request,
                   const request::StartAttempt& action) {
  const RequestNumber number = active_request.state.arrival.number;
  Log(gateway, "placed",
      {{"request", active_request.request_id},
       {"upstream", action.attempt.upstream.value},
       {"dispatcher", action.attempt.dispatcher.value},
       {"send", active_request.state.sends},
       {"since_arrival_ms",
        ToMilliseconds(clock::Now() - active_request.state.arrived_at)},
       {"waited_ms", ToMilliseconds(action.attempt.waited)},
       {"time_left_ms", ToMilliseconds(action.time_left)},
       {"view_revision", gateway.view.as_of.value}});
  RunAttempt(
      gateway, active_request, action,
      [&gateway, number](const request::AttemptEnd& end) {
        ActiveRequest* found_request = FindActiveRequest(gateway, number);
        if (!found_request)
          return;
        ExecuteActions(
            gateway, number,
            request::OnAttemptEnd(found_request->state, end,
                                  MakeContext(gateway, number), clock::Now()));
      });
}

void ExecuteAction(Gateway&,
                   ActiveRequest& active_request,
                   const request::CancelAttempt&) {
  CancelRunningAttempt(active_request);
}

void ExecuteAction(Gateway& gateway,
                   ActiveRequest&,
                   const request::SendAttemptReport& action) {
  SendToDaemon(gateway, action.to, action.report);
}

void ExecuteAction(Gateway& gateway,
                   ActiveRequest&,
                   const request::SendWithdrawal& action) {
  SendToDaemon(gateway, action.to, action.withdrawal);
}

void ExecuteAction(Gateway& gateway,
                   ActiveRequest& active_request,
                   const request::DeliverResponse&) {
  DeliverResponse(gateway, active_request, std::move(*active_request.response));
}

void ExecuteAction(Gateway& gateway,
                   ActiveRequest& active_request,
                   const request::DeliverFailureResponse&) {
  DeliverResponse(gateway, active_request,
                  std::move(*active_request.failure_response));
}

void ExecuteAction(Gateway& gateway,
                   ActiveRequest& active_request,
                   const request::RespondWithFailure& action) {
  edge::HttpResponse response = MakeFailureResponse(action);
  LogResponse(gateway, active_request, response.result_int(),
              FailureName(action.failure));
  active_request.caller_exchange->Respond(std::move(response));
}

void ExecuteActions(Gateway& gateway,
                    RequestNumber number,
                    const request::Actions& actions) {
  ActiveRequest* active_request = FindActiveRequest(gateway, number);
  if (!active_request)
    return;
  for (const request::Action& action : actions)
    std::visit(
        [&](const auto& body) {
          ExecuteAction(gateway, *active_request, body);
        },
        action);
  if (active_request->state.phase == request::Phase::kEnded) {
    EraseRequest(gateway, number);
    return;
  }
  ArmRequestTimer(gateway, request::NextTimerAt(active_request->state));
}

dispatch::RequestFingerprints ComputeFingerprints(
    const edge::Exchange& caller_exchange,
    const edge::HttpRequest& http_request) {
  const std::string& caller = caller_exchange.CallerEndpoint();
  return request::ComputeFingerprints(caller.substr(0, caller.rfind(':')),
                                      std::string(http_request.method_string()),
                                      std::string(http_request.target()),
                                      http_request.body());
}

// Rejects a request before an upstream is chosen for it.
void RejectRequest(Gateway& gateway,
                   edge::Exchange& caller_exchange,
                   const edge::HttpRequest& http_request,
                   http::status status,
                   const char* reason,
                   base::Duration retry_after = kNotReadyRetryAfter) {
  const platform::RequestFields fields =
      platform::ParseRequestFields(http_request);
  edge::HttpResponse response = MakeProblemResponse(status, reason);
  if (status == http::status::service_unavailable)
    response.set(http::field::retry_after,
                 std::to_string(ToMilliseconds(retry_after) / 1000));
  Log(gateway, "rejected",
      {{"request", fields.request_id},
       {"host", std::string(http_request[http::field::host])},
       {"target", std::string(http_request.target().substr(0, 200))},
       {"status", static_cast<unsigned>(status)},
       {"reason", reason},
       {"configuration",
        gateway.configuration ? gateway.configuration->version.value : 0}});
  metrics::IncrementCounter(
      gateway.metrics,
      std::string("rejected_total{reason=\"") + reason + "\"}");
  caller_exchange.Respond(std::move(response));
}

}  // namespace

bool MayOverlap(const Gateway& gateway, const edge::HttpRequest& http_request) {
  if (!gateway.configuration)
    return false;
  const auto host = http_request[http::field::host];
  const auto target = http_request.target();
  const fleet::Route* route =
      fleet::FindRoute(*gateway.configuration, {host.data(), host.size()},
                       {target.data(), target.size()});
  return route && route->repeatable;
}

void OnCallerRequest(Gateway& gateway,
                     const std::shared_ptr<edge::Exchange>& caller_exchange,
                     edge::HttpRequest http_request) {
  if (!gateway.configuration) {
    RejectRequest(gateway, *caller_exchange, http_request,
                  http::status::service_unavailable, "no_configuration");
    return;
  }
  const auto host = http_request[http::field::host];
  const auto target = http_request.target();
  const fleet::Route* route =
      fleet::FindRoute(*gateway.configuration, {host.data(), host.size()},
                       {target.data(), target.size()});
  if (!route) {
    RejectRequest(gateway, *caller_exchange, http_request,
                  http::status::not_found, "no_route");
    return;
  }
  const base::TimePoint now = clock::Now();
  const platform::RequestFields fields =
      platform::ParseRequestFields(http_request);
  const base::Duration caller_time_left =
      fields.time_left
          ? std::max(*fields.time_left - kResponseMargin, base::Duration(0))
          : route->timeout;
  // The request may have waited for the responses before it.
  const base::TimePoint received_at = caller_exchange->ReceivedAt();
  const base::TimePoint deadline =
      received_at + std::min(route->timeout, caller_time_left);
  if (!CanFinishRequest(gateway, deadline)) {
    RejectRequest(gateway, *caller_exchange, http_request,
                  http::status::service_unavailable, "draining");
    return;
  }
  if (!HasMemoryForRequest(gateway)) {
    RejectRequest(gateway, *caller_exchange, http_request,
                  http::status::service_unavailable, "memory_pressure",
                  kMemoryPressureRetryAfter);
    return;
  }
  const RequestNumber number{gateway.next_request_number++};
  auto active_request = std::make_unique<ActiveRequest>();
  active_request->caller_exchange = caller_exchange;
  active_request->request_id = fields.request_id;
  active_request->route_name = route->name;
  active_request->configuration_version = gateway.configuration->version.value;
  request::Arrival arrival;
  arrival.number = number;
  arrival.work_class = {
      fleet::ChooseTarget(gateway.traffic_split_state, *route, gateway.rng),
      route->repeatable, route->priority};
  arrival.priority = route->priority;
  active_request->service_name = arrival.work_class.service.value;
  arrival.shard_slots = GetShardSlots(gateway, arrival.work_class.service);
  arrival.fingerprints = ComputeFingerprints(*caller_exchange, http_request);
  if (dispatch::IsKnownToCrash(gateway.dispatcher, arrival.fingerprints, now)) {
    RejectRequest(gateway, *caller_exchange, http_request,
                  http::status::service_unavailable, "crashes_upstreams",
                  dispatch::kCrashingRetryAfter);
    return;
  }
  arrival.late_at = received_at + route->latency_objective;
  arrival.deadline = std::min(deadline, LatestResponseAt(gateway));
  arrival.max_attempts = route->max_attempts;
  active_request->http_request = std::move(http_request);
  ActiveRequest& started_request = *active_request;
  gateway.requests.emplace(number, std::move(active_request));
  gateway.requests_by_exchange[caller_exchange.get()] = number;
  ExecuteActions(gateway, number,
                 request::BeginRequest(started_request.state, arrival,
                                       MakeContext(gateway, number), now));
}

void LimitDeadlines(Gateway& gateway, base::TimePoint latest) {
  for (const auto& [number, active_request] : gateway.requests) {
    base::TimePoint& deadline = active_request->state.arrival.deadline;
    deadline = std::min(deadline, latest);
  }
  ArmRequestTimer(gateway, latest);
}

void OnCallerDisconnected(Gateway& gateway,
                          const edge::Exchange& caller_exchange) {
  const auto found = gateway.requests_by_exchange.find(&caller_exchange);
  if (found == gateway.requests_by_exchange.end())
    return;
  const RequestNumber number = found->second;
  ActiveRequest* active_request = FindActiveRequest(gateway, number);
  if (!active_request)
    return;
  LogResponse(gateway, *active_request, 0, "caller_gone");
  ExecuteActions(gateway, number,
                 request::OnCallerDisconnected(active_request->state));
}

void OnGrant(Gateway& gateway,
             const base::DaemonId& from,
             const dispatch::Grant& grant) {
  ActiveRequest* active_request =
      FindActiveRequestByAttempt(gateway, grant.attempt_id);
  if (!active_request) {
    dispatch::AttemptReport unused_report;
    unused_report.attempt_id = grant.attempt_id;
    unused_report.upstream = grant.upstream;
    SendToDaemon(gateway, from, unused_report);
    return;
  }
  const RequestNumber number = active_request->state.arrival.number;
  // The dispatcher may not have heard yet what this daemon knows.
  const dispatch::UpstreamNotice notice = KnownNotice(gateway, grant.upstream);
  if (notice.is_leaving || notice.pause > base::Duration(0)) {
    const std::string reason = notice.is_leaving ? "leaving" : "paused";
    Log(gateway, "grant_returned",
        {{"request", active_request->request_id},
         {"upstream", grant.upstream.value},
         {"dispatcher", from.value},
         {"reason", reason}});
    metrics::IncrementCounter(
        gateway.metrics, "grants_returned_total{reason=\"" + reason + "\"}");
    ExecuteActions(
        gateway, number,
        request::OnUnwantedGrant(active_request->state, from, grant, notice,
                                 MakeContext(gateway, number), clock::Now()));
    return;
  }
  ExecuteActions(
      gateway, number,
      request::OnGrant(active_request->state, from, grant, clock::Now()));
}

void OnQueuedNotice(Gateway& gateway, const dispatch::QueuedNotice& notice) {
  ActiveRequest* active_request =
      FindActiveRequestByAttempt(gateway, notice.attempt_id);
  if (active_request)
    ExecuteActions(
        gateway, active_request->state.arrival.number,
        request::OnQueuedNotice(active_request->state, notice, clock::Now()));
}

void OnRefusal(Gateway& gateway,
               const base::DaemonId& from,
               const dispatch::Refusal& refusal) {
  ActiveRequest* active_request =
      FindActiveRequestByAttempt(gateway, refusal.attempt_id);
  if (!active_request)
    return;
  Log(gateway, "refused",
      {{"request", active_request->request_id},
       {"dispatcher", from.value},
       {"reason", RefusalName(refusal.reason)},
       {"retry_after_ms", ToMilliseconds(refusal.retry_after)},
       {"service", active_request->service_name},
       {"fingerprint",
        active_request->state.arrival.fingerprints.content.value}});
  const RequestNumber number = active_request->state.arrival.number;
  ExecuteActions(
      gateway, number,
      request::OnRefusal(active_request->state, refusal,
                         MakeContext(gateway, number), clock::Now()));
}

}  // namespace poplarfork::gateway
