#include "gateway/control_server.h"

#include <memory>
#include <utility>

#include "clock/now_func.h"
#include "fleet/view_func.h"
#include "gateway/answer_func.h"
#include "gateway/log_func.h"
#include "gateway/peer_driver.h"
#include "gateway/request_driver.h"
#include "metrics/registry_func.h"
#include "platform/request_func.h"
#include "upstream/pool_func.h"

namespace poplarfork::gateway {

namespace {

namespace http = boost::beast::http;
using edge::HttpRequest;
using edge::HttpResponse;
using SessionPtr = std::shared_ptr<edge::Session>;

// Time for which callers may use the addresses in a response. Callers request
// the addresses again after this time, so a short time makes them soon stop
// using a daemon that drains or has failed. Each request costs them one round
// trip.
constexpr base::Duration kAddressTtl = std::chrono::milliseconds(500);

// Largest number of addresses in one response; callers use no more than this.
constexpr std::size_t kMaxAddresses = 64;

constexpr base::Duration kSweepInterval = std::chrono::milliseconds(500);

// Limit of the request bodies that one server buffers for all callers together:
// a quarter of the memory of the smallest VM in use (160 MB).
constexpr std::uint64_t kMaxBufferedBytes = 40 * 1024 * 1024;

// Limit of the caller connections of one server. The smallest VM has 4,100 file
// descriptors; the rest is left for connections to upstreams and other daemons.
constexpr std::size_t kMaxConnections = 2800;

HttpResponse TextAnswer(std::string body, const char* type) {
  HttpResponse answer(http::status::ok, 11);
  answer.set(http::field::content_type, type);
  answer.body() = std::move(body);
  return answer;
}

std::string_view TargetOf(const HttpRequest& request) {
  return {request.target().data(), request.target().size()};
}

HttpResponse AnswerReadiness(Gateway& gateway, const HttpRequest& request) {
  if (!platform::IsReadinessQuestion(TargetOf(request)))
    return MakeProblem(http::status::not_found, "no_such_target");
  if (!IsAccepting(gateway))
    return MakeProblem(http::status::service_unavailable, "not_accepting");
  return TextAnswer("{}", "application/json");
}

HttpResponse AnswerAddresses(Gateway& gateway, const HttpRequest& request) {
  const auto question = platform::ReadAddressQuestion(TargetOf(request));
  if (!question)
    return MakeProblem(http::status::not_found, "no_such_target");
  const std::vector<std::string> addresses = fleet::CallerAddresses(
      gateway.view, {question->data_centre}, kMaxAddresses, clock::Now());
  metrics::Count(gateway.metrics, "address_questions_total");
  if (addresses.empty())
    return MakeProblem(http::status::service_unavailable, "no_addresses");
  return TextAnswer(
      platform::MakeAddressAnswer(
          addresses, std::min(kAddressTtl, gateway.settings.address_ttl_limit)),
      "application/json");
}

HttpResponse AnswerControl(Gateway& gateway, const HttpRequest& request) {
  const std::string_view target = TargetOf(request);
  if (target == kMetricsTarget)
    return TextAnswer(metrics::ToText(gateway.metrics), "text/plain");
  if (target == kConfigurationTarget && !gateway.configuration_text.empty())
    return TextAnswer(gateway.configuration_text, "application/json");
  return MakeProblem(http::status::not_found, "no_such_target");
}

using Answerer = HttpResponse (*)(Gateway&, const HttpRequest&);

// Returns handlers of a server whose responses are available at once.
edge::Handlers SimpleHandlers(Gateway& gateway, Answerer answerer) {
  edge::Handlers handlers;
  handlers.on_request = [&gateway, answerer](const SessionPtr& session,
                                             const HttpRequest& request) {
    session->Respond(answerer(gateway, request));
  };
  handlers.on_gone = [](const SessionPtr& session) { session->Abort(); };
  handlers.on_rejected = [](const std::string&,
                            const edge::Rejection& rejection) {
    return MakeProblem(rejection.status, rejection.reason.c_str());
  };
  return handlers;
}

// Returns handlers of the server for callers, whose requests are sent to
// upstreams.
edge::Handlers FrontHandlers(Gateway& gateway) {
  edge::Handlers handlers;
  handlers.on_request = [&gateway](const SessionPtr& session,
                                   HttpRequest request) {
    OnCallerRequest(gateway, session, std::move(request));
  };
  handlers.on_gone = [&gateway](const SessionPtr& session) {
    OnCallerGone(gateway, *session);
    session->Abort();
  };
  handlers.on_rejected = [&gateway](const std::string& caller,
                                    const edge::Rejection& rejection) {
    Log(gateway, "input_rejected",
        {{"caller", caller},
         {"status", static_cast<unsigned>(rejection.status)},
         {"reason", rejection.reason}});
    metrics::Count(gateway.metrics,
                   "input_rejected_total{reason=\"" + rejection.reason + "\"}");
    return MakeProblem(rejection.status, rejection.reason.c_str());
  };
  return handlers;
}

}  // namespace

base::Result<void> OpenServers(Gateway& gateway) {
  edge::Limits limits;
  limits.max_buffered_bytes = kMaxBufferedBytes;
  limits.max_connections = kMaxConnections;
  gateway.front = std::make_shared<edge::Server>(gateway.loop, limits,
                                                 FrontHandlers(gateway));
  gateway.ready = std::make_shared<edge::Server>(
      gateway.loop, limits, SimpleHandlers(gateway, AnswerReadiness));
  gateway.directory = std::make_shared<edge::Server>(
      gateway.loop, limits, SimpleHandlers(gateway, AnswerAddresses));
  gateway.control = std::make_shared<edge::Server>(
      gateway.loop, limits, SimpleHandlers(gateway, AnswerControl));
  const std::pair<edge::Server*, std::string*> places[] = {
      {gateway.front.get(), &gateway.settings.front_address},
      {gateway.ready.get(), &gateway.settings.ready_address},
      {gateway.directory.get(), &gateway.settings.directory_address},
      {gateway.control.get(), &gateway.settings.control_address},
  };
  for (const auto& [server, address] : places) {
    const auto bound = server->Listen(*address);
    if (!bound)
      return bound.error();
    *address = bound.value();
  }
  return boost::outcome_v2::success();
}

void StartSweeps(Gateway& gateway) {
  gateway.sweep_timer.expires_after(kSweepInterval);
  gateway.sweep_timer.async_wait(
      [&gateway](const boost::system::error_code& error) {
        if (error)
          return;
        const base::TimePoint now = clock::Now();
        gateway.front->Sweep(now);
        gateway.ready->Sweep(now);
        gateway.directory->Sweep(now);
        gateway.control->Sweep(now);
        upstream::CloseExpired(gateway.upstream_pool, now);
        upstream::CloseExpired(gateway.control_pool, now);
        StartSweeps(gateway);
      });
}

}  // namespace poplarfork::gateway
