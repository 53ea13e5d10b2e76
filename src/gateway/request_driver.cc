#include "gateway/request_driver.h"

#include <algorithm>
#include <utility>

#include "clock/now_func.h"
#include "datagram/message_type.h"
#include "dispatch/crash_func.h"
#include "fleet/client_account_func.h"
#include "fleet/configuration_func.h"
#include "fleet/shard_func.h"
#include "fleet/traffic_split_func.h"
#include "gateway/account_driver.h"
#include "gateway/dispatch_driver.h"
#include "gateway/hedge_metrics.h"
#include "gateway/log_func.h"
#include "gateway/memory_driver.h"
#include "gateway/peer_driver.h"
#include "gateway/rejection_driver.h"
#include "gateway/request_action_driver.h"
#include "gateway/response_func.h"
#include "gateway/shutdown.h"
#include "metrics/registry_func.h"
#include "platform/request_func.h"
#include "request/fingerprint_func.h"
#include "request/request_func.h"
#include "request/slot_request_func.h"
#include "request/waiting_func.h"

namespace poplarfork::gateway {

namespace {

namespace http = boost::beast::http;
using request::RequestNumber;

// The final response is sent this long before the caller's time ends, because
// the caller stops waiting by its own clock.
constexpr base::Duration kResponseMargin = std::chrono::milliseconds(20);
// Value of the Retry-After field while the buffers are full. Responses to slow
// callers are sent within seconds.
constexpr base::Duration kMemoryPressureRetryAfter = std::chrono::seconds(1);

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

dispatch::RequestFingerprints ComputeFingerprints(
    const edge::Exchange& caller_exchange,
    const edge::HttpRequest& http_request) {
  const std::string& caller = caller_exchange.CallerEndpoint();
  return request::ComputeFingerprints(caller.substr(0, caller.rfind(':')),
                                      std::string(http_request.method_string()),
                                      std::string(http_request.target()),
                                      http_request.body());
}

// Returns the slot of a grant that is not used to its dispatcher.
void ReturnGrant(Gateway& gateway,
                 const base::DaemonId& from,
                 const dispatch::Grant& grant) {
  dispatch::AttemptReport unused_report;
  unused_report.attempt_id = grant.attempt_id;
  unused_report.upstream = grant.upstream;
  SendToDaemon(gateway, from, unused_report);
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
  const auto admission =
      AdmitAccount(gateway, *caller_exchange, http_request, *route);
  if (!admission)
    return;
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
  active_request->credential = admission->credential;
  active_request->is_public = route->is_public;
  request::Arrival arrival;
  arrival.number = number;
  arrival.work_class = {
      fleet::ChooseTarget(gateway.traffic_split_state, *route, gateway.rng),
      route->repeatable, route->priority};
  arrival.priority = fleet::EffectivePriority(*route, admission->account);
  if (admission->account)
    arrival.account = admission->account->id;
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
  ExecuteRequestActions(
      gateway, number,
      request::BeginRequest(started_request.state, arrival,
                            MakeRequestContext(gateway, number), now));
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
  ExecuteRequestActions(gateway, number,
                        request::OnCallerDisconnected(active_request->state));
}

void OnGrant(Gateway& gateway,
             const base::DaemonId& from,
             const dispatch::Grant& grant) {
  ActiveRequest* active_request =
      FindActiveRequestByAttempt(gateway, grant.attempt_id);
  if (!active_request) {
    ReturnGrant(gateway, from, grant);
    return;
  }
  const RequestNumber number = active_request->state.arrival.number;
  // The key of a request whose connection failed may have been withdrawn while
  // it was not waiting.
  if (request::IsWaiting(active_request->state) &&
      !RenewAccount(gateway, *active_request)) {
    ReturnGrant(gateway, from, grant);
    ExecuteRequestActions(gateway, number,
                          request::EndWaiting(active_request->state,
                                              request::Failure::kKeyWithdrawn));
    return;
  }
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
    ExecuteRequestActions(
        gateway, number,
        request::OnUnwantedGrant(active_request->state, from, grant, notice,
                                 MakeRequestContext(gateway, number),
                                 clock::Now()));
    return;
  }
  ExecuteRequestActions(
      gateway, number,
      request::OnGrant(active_request->state, from, grant, clock::Now()));
}

void OnQueuedNotice(Gateway& gateway, const dispatch::QueuedNotice& notice) {
  ActiveRequest* active_request =
      FindActiveRequestByAttempt(gateway, notice.attempt_id);
  if (active_request)
    ExecuteRequestActions(
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
       {"account", active_request->state.arrival.account.value},
       {"fingerprint",
        active_request->state.arrival.fingerprints.content.value}});
  if (request::IsOpenHedge(active_request->state, refusal.attempt_id))
    CountRefusedHedge(gateway, refusal.reason);
  const RequestNumber number = active_request->state.arrival.number;
  ExecuteRequestActions(
      gateway, number,
      request::OnRefusal(active_request->state, refusal,
                         MakeRequestContext(gateway, number), clock::Now()));
}

}  // namespace poplarfork::gateway
