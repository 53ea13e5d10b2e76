#include "gateway/request_action_driver.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "clock/now_func.h"
#include "fleet/shard_func.h"
#include "fleet/view_func.h"
#include "gateway/attempt_driver.h"
#include "gateway/hedge_metrics.h"
#include "gateway/log_func.h"
#include "gateway/peer_driver.h"
#include "gateway/response_func.h"
#include "metrics/registry_func.h"
#include "platform/request_func.h"

namespace poplarfork::gateway {

namespace {

using request::RequestNumber;

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
      ExecuteRequestActions(
          gateway, number,
          request::OnTimer(active_request->state,
                           MakeRequestContext(gateway, number), now));
  }
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
       {"hedge", action.attempt.is_hedge},
       {"since_arrival_ms",
        ToMilliseconds(clock::Now() - active_request.state.arrived_at)},
       {"waited_ms", ToMilliseconds(action.attempt.waited)},
       {"time_left_ms", ToMilliseconds(action.time_left)},
       {"view_revision", gateway.view.as_of.value}});
  RunAttempt(gateway, active_request, action,
             [&gateway, number](const request::AttemptEnd& end) {
               ActiveRequest* found_request =
                   FindActiveRequest(gateway, number);
               if (!found_request)
                 return;
               ExecuteRequestActions(
                   gateway, number,
                   request::OnAttemptEnd(found_request->state, end,
                                         MakeRequestContext(gateway, number),
                                         clock::Now()));
             });
}

void ExecuteAction(Gateway&,
                   ActiveRequest& active_request,
                   const request::CancelAttempt& action) {
  CancelRunningAttempt(active_request, action.attempt_id);
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

}  // namespace

ActiveRequest* FindActiveRequest(Gateway& gateway, RequestNumber number) {
  const auto found = gateway.requests.find(number);
  return found == gateway.requests.end() ? nullptr : found->second.get();
}

request::Context MakeRequestContext(Gateway& gateway, RequestNumber number) {
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
       {"hedge", HedgeName(active_request.state.hedge_counts)},
       {"dispatcher", active_request.state.asked_dispatcher.value},
       {"configuration", active_request.configuration_version}});
  metrics::IncrementCounter(gateway.metrics, "requests_total{service=\"" +
                                                 active_request.service_name +
                                                 "\",outcome=\"" + outcome +
                                                 "\"}");
  CountHedges(gateway, active_request.state.hedge_counts);
  metrics::Observe(
      gateway.metrics,
      "request_duration{service=\"" + active_request.service_name + "\"}",
      duration);
}

void ExecuteRequestActions(Gateway& gateway,
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

}  // namespace poplarfork::gateway
