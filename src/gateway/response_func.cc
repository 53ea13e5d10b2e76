#include "gateway/response_func.h"

#include <algorithm>
#include <cstdio>

#include "logging/json_line_func.h"
#include "platform/request_func.h"

namespace poplarfork::gateway {

namespace {

namespace http = boost::beast::http;

// Formats a duration in seconds with three decimals. A negative duration is
// written as zero.
std::string FormatSeconds(base::Duration duration) {
  char text[32];
  std::snprintf(
      text, sizeof(text), "%.3f",
      static_cast<double>(std::max<std::int64_t>(duration.count(), 0)) / 1e6);
  return text;
}

// Returns the status of the response for a failed request. 503 and 429 promise
// that the request has not run, so they are used for no other failure.
http::status FailureStatus(const request::RespondWithFailure& failure) {
  if (failure.not_run && failure.failure == request::Failure::kOverAllowance)
    return http::status::too_many_requests;
  if (failure.not_run && failure.failure == request::Failure::kKeyWithdrawn)
    return http::status::unauthorized;
  if (failure.not_run)
    return http::status::service_unavailable;
  if (failure.failure == request::Failure::kTimeout)
    return http::status::gateway_timeout;
  return http::status::bad_gateway;
}

}  // namespace

const char* FailureName(request::Failure failure) {
  switch (failure) {
    case request::Failure::kOverload:
      return "overload";
    case request::Failure::kNoUpstream:
      return "no_upstream";
    case request::Failure::kNotReady:
      return "not_ready";
    case request::Failure::kExpired:
      return "expired_while_waiting";
    case request::Failure::kUpstreamsPaused:
      return "upstreams_paused";
    case request::Failure::kCrashesUpstreams:
      return "crashes_upstreams";
    case request::Failure::kOverAllowance:
      return "over_allowance";
    case request::Failure::kKeyWithdrawn:
      return "key_withdrawn";
    case request::Failure::kShedByUpstreams:
      return "shed_by_upstreams";
    case request::Failure::kUnreachable:
      return "upstreams_unreachable";
    case request::Failure::kConnectionBroken:
      return "connection_broke";
    case request::Failure::kInvalidResponse:
      return "bad_answer";
    case request::Failure::kTimeout:
      return "timeout";
  }
  return "unknown";
}

const char* RefusalName(dispatch::RefusalReason reason) {
  switch (reason) {
    case dispatch::RefusalReason::kOverload:
      return "overload";
    case dispatch::RefusalReason::kRetryBudget:
      return "retry_budget_spent";
    case dispatch::RefusalReason::kNoUpstream:
      return "no_upstream";
    case dispatch::RefusalReason::kUpstreamsPaused:
      return "upstreams_paused";
    case dispatch::RefusalReason::kCrashesUpstreams:
      return "crashes_upstreams";
    case dispatch::RefusalReason::kNotReady:
      return "dispatcher_not_ready";
    case dispatch::RefusalReason::kExpired:
      return "expired_while_waiting";
    case dispatch::RefusalReason::kOverAllowance:
      return "over_allowance";
  }
  return "unknown";
}

edge::HttpResponse MakeFailureResponse(
    const request::RespondWithFailure& failure) {
  edge::HttpResponse response =
      MakeProblemResponse(FailureStatus(failure), FailureName(failure.failure));
  if (failure.not_run && failure.failure != request::Failure::kKeyWithdrawn)
    response.set(http::field::retry_after, FormatSeconds(failure.retry_after));
  return response;
}

edge::HttpResponse MakeProblemResponse(http::status status,
                                       const char* reason) {
  edge::HttpResponse response(status, 11);
  response.set(http::field::content_type, "application/json");
  if (status == http::status::unauthorized)
    response.set(http::field::www_authenticate, platform::kKeyScheme);
  response.body() = logging::Fields{{"reason", reason}}.dump();
  return response;
}

}  // namespace poplarfork::gateway
