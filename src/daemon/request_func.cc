#include "daemon/request_func.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <optional>
#include <string>
#include <utility>

#include "base/hash_func.h"
#include "claim/claim_func.h"
#include "clock/now_func.h"
#include "daemon/attempt_func.h"
#include "daemon/claim_func.h"
#include "daemon/health_func.h"
#include "daemon/request_end_func.h"
#include "load/admission_func.h"
#include "load/deadline_func.h"
#include "routing/route_table_func.h"

namespace poplarfork::daemon {

namespace {

namespace http = boost::beast::http;

constexpr char kDeadlineField[] = "Poplarfork-Deadline-Ms";
constexpr char kAccountField[] = "Poplarfork-Account";

base::RequestId MakeRequestId(Daemon& daemon) {
  std::array<char, 40> text{};
  const int size = std::snprintf(
      text.data(), text.size(), "%016llx-%llx",
      static_cast<unsigned long long>(daemon.incarnation.value),
      static_cast<unsigned long long>(daemon.next_request_number++));
  return {std::string(text.data(), static_cast<std::size_t>(size))};
}

std::string_view ToStringView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

std::optional<base::Duration> ParseTimeoutField(
    const edge::HttpRequest& request) {
  const auto field = request[kDeadlineField];
  std::int64_t milliseconds = 0;
  const char* end = field.data() + field.size();
  const auto parsed = std::from_chars(field.data(), end, milliseconds);
  if (field.empty() || parsed.ec != std::errc() || parsed.ptr != end ||
      milliseconds < 0)
    return std::nullopt;
  return std::chrono::milliseconds(milliseconds);
}

// Returns the fingerprint of a request. It is a stable hash of the method,
// host, target and body, so that the same request has the same fingerprint at
// every daemon and in every repeat.
std::uint64_t ComputeFingerprint(const edge::HttpRequest& request) {
  std::string text(ToStringView(request.method_string()));
  text += ' ';
  text += ToStringView(request[http::field::host]);
  text += ToStringView(request.target());
  text += '\n';
  text += request.body();
  return base::StableHash(text);
}

RequestPtr MakeRequest(Daemon& daemon,
                       std::shared_ptr<edge::Exchange> caller_exchange,
                       edge::HttpRequest http_request) {
  auto request = std::make_shared<Request>();
  request->id = MakeRequestId(daemon);
  request->caller_exchange = std::move(caller_exchange);
  request->http_request =
      std::make_shared<edge::HttpRequest>(std::move(http_request));
  request->configuration = daemon.configuration;
  request->arrived_at = clock::Now();
  request->account = {
      std::string(ToStringView((*request->http_request)[kAccountField]))};
  daemon.requests_by_exchange[request->caller_exchange.get()] = request;
  return request;
}

Problem MakeRouteProblem(routing::RouteStatus status) {
  switch (status) {
    case routing::RouteStatus::kWrongHost:
      return {http::status::misdirected_request,
              Outcome::kNotRun,
              "wrong_host",
              {}};
    case routing::RouteStatus::kWithdrawn:
      return {http::status::gone, Outcome::kNotRun, "withdrawn", {}};
    case routing::RouteStatus::kNoRoute:
    case routing::RouteStatus::kMatched:
      break;
  }
  return {http::status::not_found, Outcome::kNotRun, "no_route", {}};
}

// Finds the service of the request. If there is none, responds to the request
// and returns false.
bool RouteRequest(Daemon& daemon, const RequestPtr& request) {
  if (!request->configuration) {
    RespondWithProblem(daemon, request,
                       {http::status::service_unavailable, Outcome::kNotRun,
                        "no_configuration", std::chrono::seconds(1)});
    return false;
  }
  const auto match = routing::FindRoute(
      daemon.route_table,
      ToStringView((*request->http_request)[http::field::host]),
      ToStringView(request->http_request->method_string()),
      ToStringView(request->http_request->target()));
  if (match.status != routing::RouteStatus::kMatched) {
    RespondWithProblem(daemon, request, MakeRouteProblem(match.status));
    return false;
  }
  request->service = match.service;
  request->repeatable = match.repeatable;
  return true;
}

std::optional<load::AccountShare> FindAccountShare(
    const Request& request,
    const ServiceRuntime& service) {
  const auto& accounts = request.configuration->accounts;
  const auto found = accounts.find(request.account);
  if (found == accounts.end())
    return std::nullopt;
  const auto daemon_count = static_cast<std::uint32_t>(
      std::max<std::size_t>(1, service.group.size()));
  return load::DivideAccountLimit(found->second.rate, found->second.burst,
                                  daemon_count);
}

// Admits the request, or responds to it with the refusal and returns false.
bool TryAdmit(Daemon& daemon,
              const RequestPtr& request,
              ServiceRuntime& service) {
  load::AdmissionRequest admission_request;
  admission_request.service = request->service;
  admission_request.urgency = service.policy.urgency;
  admission_request.max_in_flight = service.policy.max_in_flight;
  admission_request.account = request->account;
  admission_request.share = FindAccountShare(*request, service);
  admission_request.deadline = request->deadline;
  const load::AdmissionDecision decision = load::Admit(
      daemon.load, admission_request, request->arrived_at, daemon.rng);
  if (!decision.refusal) {
    request->admitted = true;
    return true;
  }
  const auto status =
      static_cast<http::status>(load::RefusalStatus(*decision.refusal));
  RespondWithProblem(
      daemon, request,
      {status, Outcome::kNotRun, load::RefusalName(*decision.refusal),
       decision.retry_after});
  return false;
}

}  // namespace

void OnRequest(Daemon& daemon,
               std::shared_ptr<edge::Exchange> caller_exchange,
               edge::HttpRequest http_request) {
  const RequestPtr request =
      MakeRequest(daemon, std::move(caller_exchange), std::move(http_request));
  if (!RouteRequest(daemon, request))
    return;
  const auto found = daemon.services.find(request->service);
  if (found == daemon.services.end()) {
    RespondWithProblem(daemon, request,
                       {http::status::service_unavailable, Outcome::kNotRun,
                        "service_not_served_here", std::chrono::seconds(1)});
    return;
  }
  ServiceRuntime& service = found->second;
  request->deadline =
      load::RequestDeadline(request->arrived_at, service.policy.deadline,
                            ParseTimeoutField(*request->http_request));
  if (!TryAdmit(daemon, request, service))
    return;
  request->fingerprint = ComputeFingerprint(*request->http_request);
  if (request->repeatable)
    StartAttempt(daemon, request);
  else
    HandleNonRepeatableRequest(daemon, request);
}

void OnCallerDisconnected(
    Daemon& daemon,
    const std::shared_ptr<edge::Exchange>& caller_exchange) {
  const auto found = daemon.requests_by_exchange.find(caller_exchange.get());
  if (found == daemon.requests_by_exchange.end())
    return;
  const RequestPtr request = found->second;
  request->caller_disconnected = true;
  if (request->claimed) {
    ExecuteClaimActions(
        daemon, claim::OnCallerDisconnected(daemon.claims, request->token,
                                            clock::Now()));
    return;
  }
  if (request->repeatable && request->exchange)
    request->exchange->Cancel();
}

}  // namespace poplarfork::daemon
