#include "daemon/request_end_func.h"

#include <utility>

#include "clock/now_func.h"
#include "daemon/claim_func.h"
#include "daemon/decision_log_func.h"
#include "daemon/problem_func.h"
#include "load/admission_func.h"
#include "metrics/registry_func.h"

namespace poplarfork::daemon {

namespace {

std::string RequestCounterName(const std::string& service,
                               const std::string& result) {
  return "poplarfork_requests_total{service=\"" + service + "\",result=\"" +
         result + "\"}";
}

void LogRequestEnd(Daemon& daemon,
                   const Request& request,
                   const std::string& result,
                   base::Duration latency) {
  auto fields = web::json::value::object();
  fields["result"] = web::json::value::string(result);
  fields["latency_us"] = web::json::value::number(latency.count());
  fields["attempts"] = web::json::value::number(request.attempt_count);
  fields["upstream"] = web::json::value::string(request.upstream.value);
  LogRequestDecision(daemon.decision_log, request.id.value, "request_end",
                     std::move(fields));
}

}  // namespace

void EndRequest(Daemon& daemon,
                const RequestPtr& request,
                const std::string& result) {
  const base::Duration latency = clock::Now() - request->arrived_at;
  request->ended = true;
  daemon.requests_by_exchange.erase(request->caller_exchange.get());
  if (request->admitted)
    load::OnRequestDone(daemon.load, request->service);
  request->admitted = false;
  metrics::IncrementCounter(daemon.metrics,
                            RequestCounterName(request->service.value, result));
  metrics::Observe(daemon.metrics, "poplarfork_request_latency", latency);
  LogRequestEnd(daemon, *request, result, latency);
}

void RespondWithProblem(Daemon& daemon,
                        const RequestPtr& request,
                        const Problem& problem) {
  if (request->ended)
    return;
  if (request->claimed) {
    EndClaimedRunWithProblem(daemon, request, problem);
    return;
  }
  request->caller_exchange->Respond(MakeProblemResponse(problem, request->id));
  EndRequest(daemon, request,
             std::string(OutcomeName(problem.outcome)) + " " + problem.reason);
}

void SendCompleteResponse(Daemon& daemon,
                          const RequestPtr& request,
                          edge::HttpResponse response) {
  if (request->ended)
    return;
  if (request->claimed)
    EndClaimedRunWithResponse(daemon, request, response);
  const std::string result = std::to_string(response.result_int());
  request->caller_exchange->Respond(std::move(response));
  EndRequest(daemon, request, result);
}

}  // namespace poplarfork::daemon
