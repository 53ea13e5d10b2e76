#include "daemon/attempt_func.h"

#include <optional>
#include <utility>
#include <vector>

#include "clock/now_func.h"
#include "daemon/decision_log_func.h"
#include "daemon/delivery_func.h"
#include "daemon/header_func.h"
#include "daemon/health_func.h"
#include "daemon/request_end_func.h"
#include "daemon/service_runtime_func.h"
#include "load/deadline_func.h"
#include "load/retry_budget_func.h"
#include "metrics/registry_func.h"
#include "routing/choice_func.h"

namespace poplarfork::daemon {

namespace {

namespace http = boost::beast::http;
using web::json::value;

// The maximum number of attempts for one request. With more attempts, a single
// request that harms upstreams would reach many of the upstreams of a service.
constexpr unsigned kMaxAttempts = 3;

value DescribeCandidate(const ServiceRuntime& service,
                        const routing::SampledCandidate& sample) {
  auto fields = value::object();
  fields["upstream"] = value::string(service.upstreams[sample.index].id.value);
  fields["in_flight"] = value::number(sample.in_flight);
  fields["slots"] = value::number(sample.slots);
  fields["weight"] = value::number(sample.weight);
  fields["reported_load"] = value::number(sample.estimated_load);
  return fields;
}

void LogUpstreamChoice(Daemon& daemon,
                       const Request& request,
                       const ServiceRuntime& service,
                       const routing::UpstreamChoice& choice) {
  auto fields = value::object();
  fields["service"] = value::string(request.service.value);
  fields["revision"] = value::number(request.configuration->revision.value);
  fields["repeatable"] = value::boolean(request.repeatable);
  fields["attempt"] = value::number(request.attempt_count);
  fields["reused"] = value::boolean(request.exchange->IsConnectionReused());
  fields["chosen"] = DescribeCandidate(service, choice.chosen);
  if (choice.other)
    fields["other"] = DescribeCandidate(service, *choice.other);
  LogRequestDecision(daemon.decision_log, request.id.value, "route",
                     std::move(fields));
}

// Returns the request as it is sent to the upstream. It is built again for each
// attempt, because it states the time that is left until the deadline.
std::shared_ptr<const upstream::HttpRequest> MakeUpstreamRequest(
    const Request& request,
    base::TimePoint now) {
  auto upstream_request =
      std::make_shared<upstream::HttpRequest>(*request.http_request);
  RemoveHopByHopFields(upstream_request->base());
  upstream_request->version(11);
  upstream_request->set("Poplarfork-Request-Id", request.id.value);
  upstream_request->set(
      "Poplarfork-Deadline-Ms",
      std::to_string(load::RemainingTime(request.deadline, now).count()));
  upstream_request->set("X-Forwarded-For",
                        request.caller_exchange->CallerEndpoint());
  if (request.resuming_download) {
    upstream_request->set(
        http::field::range,
        "bytes=" + std::to_string(request.received_bytes) + "-");
    upstream_request->set(http::field::if_range, request.entity_tag);
  }
  upstream_request->prepare_payload();
  return upstream_request;
}

std::optional<routing::UpstreamChoice> ChooseNextUpstream(
    Daemon& daemon,
    const Request& request,
    const ServiceRuntime& service,
    base::TimePoint now) {
  std::vector<std::uint32_t> tried_indices;
  for (const base::UpstreamId& upstream : request.tried_upstreams) {
    if (const auto upstream_index = FindUpstreamIndex(service, upstream))
      tried_indices.push_back(*upstream_index);
  }
  return routing::ChooseUpstream(service.candidates, tried_indices, now,
                                 daemon.rng);
}

void SendToUpstream(Daemon& daemon,
                    const RequestPtr& request,
                    ServiceRuntime& service,
                    std::uint32_t upstream_index) {
  const base::TimePoint now = clock::Now();
  UpstreamRuntime& entry = service.upstreams[upstream_index];
  request->upstream = entry.id;
  request->tried_upstreams.push_back(entry.id);
  ++request->attempt_count;
  request->attempt_number = daemon.next_attempt_number++;
  request->attempt_started_at = now;
  request->first_byte_at = {};
  request->invalid_response = false;
  if (!request->resuming_download) {
    request->delivery_mode = DeliveryMode::kUndecided;
    request->buffered_body.clear();
    request->received_bytes = 0;
    request->body_digest.reset();
  }
  ++service.candidates[upstream_index].in_flight;
  request->exchange = std::make_shared<upstream::Exchange>(
      daemon.loop, daemon.upstream_pool, MakeExchangeHandlers(daemon, request));
  const bool may_reuse = request->repeatable && !request->needs_new_connection;
  const auto reuse = may_reuse ? upstream::ConnectionReuse::kAllowed
                               : upstream::ConnectionReuse::kForbidden;
  daemon.upstream_pool.address_pools[entry.address].max_open_connections =
      entry.connection_quota;
  request->exchange->Start(entry.address, MakeUpstreamRequest(*request, now),
                           reuse, request->deadline - now);
  HandleHealthEvent(daemon, service,
                    health::RequestStarted{
                        request->attempt_number, entry.id, request->fingerprint,
                        request->exchange->IsConnectionReused()});
}

}  // namespace

void StartAttempt(Daemon& daemon, const RequestPtr& request) {
  const auto found = daemon.services.find(request->service);
  const base::TimePoint now = clock::Now();
  if (found == daemon.services.end()) {
    RespondWithProblem(daemon, request,
                       {http::status::gone, Outcome::kNotRun, "withdrawn", {}});
    return;
  }
  ServiceRuntime& service = found->second;
  if (health::IsRefused(service.health, request->fingerprint, now)) {
    RespondWithProblem(daemon, request,
                       {http::status::service_unavailable,
                        Outcome::kNotRun,
                        "request_crashes_upstreams",
                        {}});
    return;
  }
  const auto choice = ChooseNextUpstream(daemon, *request, service, now);
  if (!choice) {
    RespondWithProblem(daemon, request,
                       {http::status::service_unavailable, Outcome::kNotRun,
                        "no_upstream", std::chrono::seconds(1)});
    return;
  }
  if (request->attempt_count == 0) {
    load::OnFirstAttempt(daemon.load.services[request->service].retry_budget,
                         service.policy.retry_ratio, now);
  }
  SendToUpstream(daemon, request, service, choice->chosen.index);
  LogUpstreamChoice(daemon, *request, service, *choice);
}

bool RetryIfAllowed(Daemon& daemon,
                    const RequestPtr& request,
                    upstream::Progress progress) {
  const bool not_sent = progress == upstream::Progress::kNotConnected;
  const base::TimePoint now = clock::Now();
  if (request->caller_disconnected || request->attempt_count >= kMaxAttempts ||
      now >= request->deadline)
    return false;
  if (!request->repeatable && !not_sent)
    return false;
  const auto found = daemon.services.find(request->service);
  if (found == daemon.services.end())
    return false;
  ServiceRuntime& service = found->second;
  const auto choice = ChooseNextUpstream(daemon, *request, service, now);
  if (!choice)
    return false;
  // A retry after a connection that stopped responding needs no retry token:
  // all pooled connections to the upstream are closed then, so that such
  // retries add at most one attempt per pooled connection.
  const bool is_exempt_from_budget = request->needs_new_connection;
  if (!is_exempt_from_budget &&
      !load::TryTakeRetryToken(
          daemon.load.services[request->service].retry_budget,
          service.policy.retry_ratio, now))
    return false;
  metrics::IncrementCounter(daemon.metrics, "poplarfork_retries_total");
  SendToUpstream(daemon, request, service, choice->chosen.index);
  LogUpstreamChoice(daemon, *request, service, *choice);
  return true;
}

}  // namespace poplarfork::daemon
