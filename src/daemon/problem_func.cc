#include "daemon/problem_func.h"

#include <cpprest/json.h>

#include <string>

namespace poplarfork::daemon {

namespace {

namespace http = boost::beast::http;

std::string FormatRetryAfterSeconds(base::Duration retry_after) {
  const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(retry_after).count();
  return std::to_string(seconds);
}

std::string FormatProblemBody(const Problem& problem,
                              const base::RequestId& request_id) {
  auto body = web::json::value::object();
  body["type"] = web::json::value::string("about:blank");
  body["title"] = web::json::value::string(
      std::string(http::obsolete_reason(problem.status)));
  body["status"] = web::json::value::number(static_cast<int>(problem.status));
  body["outcome"] = web::json::value::string(OutcomeName(problem.outcome));
  body["reason"] = web::json::value::string(problem.reason);
  body["request_id"] = web::json::value::string(request_id.value);
  return body.serialize() + "\n";
}

}  // namespace

const char* OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
    case Outcome::kFailed:
      break;
  }
  return "failed";
}

edge::HttpResponse MakeProblemResponse(const Problem& problem,
                                       const base::RequestId& request_id) {
  edge::HttpResponse response(problem.status, 11);
  response.set(http::field::content_type, "application/problem+json");
  response.set("Poplarfork-Outcome", OutcomeName(problem.outcome));
  response.set("Poplarfork-Request-Id", request_id.value);
  if (problem.retry_after > base::Duration(0))
    response.set(http::field::retry_after,
                 FormatRetryAfterSeconds(problem.retry_after));
  response.body() = FormatProblemBody(problem, request_id);
  return response;
}

}  // namespace poplarfork::daemon
