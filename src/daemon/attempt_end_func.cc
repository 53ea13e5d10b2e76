#include "daemon/attempt_end_func.h"

#include <boost/asio/error.hpp>
#include <memory>
#include <string>
#include <utility>

#include "clock/now_func.h"
#include "daemon/attempt_func.h"
#include "daemon/claim_func.h"
#include "daemon/decision_log_func.h"
#include "daemon/health_func.h"
#include "daemon/request_end_func.h"
#include "daemon/service_runtime_func.h"
#include "load/concurrency_limit_func.h"
#include "metrics/registry_func.h"

namespace poplarfork::daemon {

namespace {

namespace http = boost::beast::http;
using health::RequestOutcome;
using upstream::ExchangeEnd;
using upstream::Progress;

constexpr unsigned kMinServerErrorStatus = 500;

// An upstream that sheds load responds with 503 and a Retry-After field.
bool IsLoadShedResponse(const Request& request) {
  return request.response_header.result() ==
             http::status::service_unavailable &&
         request.response_header.count(http::field::retry_after) > 0;
}

bool HasDigestMismatch(Request& request) {
  return request.body_digest &&
         request.body_digest->FinalizeBase64() != request.expected_digest;
}

RequestOutcome ClassifyCompleteResponse(Request& request) {
  if (HasDigestMismatch(request)) {
    request.invalid_response = true;
    return RequestOutcome::kInvalidResponse;
  }
  if (IsLoadShedResponse(request))
    return RequestOutcome::kShed;
  if (request.response_header.result_int() >= kMinServerErrorStatus)
    return RequestOutcome::kFailure;
  return RequestOutcome::kSuccess;
}

RequestOutcome ClassifyAttempt(Request& request, const ExchangeEnd& end) {
  if (request.invalid_response)
    return RequestOutcome::kInvalidResponse;
  if (end.is_cancelled)
    return RequestOutcome::kCancelled;
  switch (end.progress) {
    case Progress::kComplete:
      return ClassifyCompleteResponse(request);
    case Progress::kNotConnected:
      return RequestOutcome::kConnectFailed;
    case Progress::kHeaderReceived:
      return end.error == boost::asio::error::timed_out
                 ? RequestOutcome::kTimeout
                 : RequestOutcome::kInvalidResponse;
    case Progress::kMaybeSent:
      break;
  }
  if (end.error == boost::asio::error::timed_out)
    return RequestOutcome::kTimeout;
  return RequestOutcome::kConnectionLost;
}

// Reports the outcome of the attempt to the upstream's concurrency limit and to
// the health state of the service.
void RecordAttemptOutcome(Daemon& daemon,
                          const Request& request,
                          RequestOutcome outcome,
                          const ExchangeEnd& end) {
  const auto found = daemon.services.find(request.service);
  if (found == daemon.services.end())
    return;
  ServiceRuntime& service = found->second;
  const base::TimePoint now = clock::Now();
  const bool has_response = request.first_byte_at != base::TimePoint();
  const base::Duration latency =
      (has_response ? request.first_byte_at : now) - request.attempt_started_at;
  if (const auto upstream_index =
          FindUpstreamIndex(service, request.upstream)) {
    routing::Candidate& candidate = service.candidates[*upstream_index];
    load::ConcurrencyLimit& limit =
        service.upstreams[*upstream_index].concurrency_limit;
    const bool is_overloaded =
        outcome == RequestOutcome::kShed || outcome == RequestOutcome::kTimeout;
    if (has_response || is_overloaded)
      load::OnLatency(limit, latency, candidate.in_flight, is_overloaded, now);
    if (candidate.in_flight > 0)
      --candidate.in_flight;
  }
  health::RequestFinished finished;
  finished.request_number = request.attempt_number;
  finished.upstream = request.upstream;
  finished.outcome = outcome;
  finished.latency = latency;
  finished.reused_connection = end.is_connection_reused;
  finished.fingerprint = request.fingerprint;
  HandleHealthEvent(daemon, service, finished);
}

void LogFailedAttempt(Daemon& daemon,
                      const Request& request,
                      RequestOutcome outcome,
                      const ExchangeEnd& end) {
  if (outcome == RequestOutcome::kSuccess)
    return;
  auto fields = web::json::value::object();
  fields["upstream"] = web::json::value::string(request.upstream.value);
  fields["outcome"] = web::json::value::number(static_cast<int>(outcome));
  fields["error"] = web::json::value::string(end.error.message());
  fields["silent"] = web::json::value::boolean(end.is_silent);
  fields["reused"] = web::json::value::boolean(end.is_connection_reused);
  LogRequestDecision(daemon.decision_log, request.id.value, "attempt_failed",
                     std::move(fields));
}

void DeliverBufferedResponse(Daemon& daemon, const RequestPtr& request) {
  edge::HttpResponse response(std::move(request->response_header));
  if (request->http_request->method() != http::verb::head)
    response.body() = std::move(request->buffered_body);
  SendCompleteResponse(daemon, request, std::move(response));
}

// Sends the part of a streamed response that was held back until the response
// was known to be complete.
void DeliverLastPart(Daemon& daemon, const RequestPtr& request) {
  auto last_part =
      std::make_shared<std::string>(std::move(request->buffered_body));
  const std::string status =
      std::to_string(request->response_header.result_int());
  if (request->claimed)
    EndClaimedRunAfterStream(daemon, request, true);
  request->caller_exchange->WritePart(
      *last_part, [&daemon, request, last_part, status](bool success) {
        EndRequest(daemon, request, success ? status : "caller_gone");
        if (success)
          request->caller_exchange->EndStream();
      });
}

// Closes the caller's connection, so that the caller sees that the response is
// incomplete, and ends the request.
void AbortResponse(Daemon& daemon,
                   const RequestPtr& request,
                   const std::string& reason) {
  if (request->claimed && !request->relaying)
    EndClaimedRunAfterStream(daemon, request, false);
  daemon.claimed_requests.erase(request->token);
  request->claimed = false;
  request->caller_exchange->Abort();
  EndRequest(daemon, request, reason);
}

bool CanResumeDownload(const Daemon& daemon, const Request& request) {
  const auto found = daemon.services.find(request.service);
  if (found == daemon.services.end() || request.invalid_response)
    return false;
  return found->second.policy.resume_by_range && request.repeatable &&
         request.http_request->method() == http::verb::get &&
         request.response_header.result() == http::status::ok &&
         request.response_header.count(http::field::content_length) > 0 &&
         request.entity_tag.starts_with('"');
}

// Handles the end of an attempt whose response was being streamed and is not
// complete: resumes the download if that is possible, otherwise aborts the
// response.
void OnStreamInterrupted(Daemon& daemon,
                         const RequestPtr& request,
                         const ExchangeEnd& end) {
  if (!request->caller_disconnected && CanResumeDownload(daemon, *request)) {
    request->resuming_download = true;
    if (RetryIfAllowed(daemon, request, end.progress)) {
      metrics::IncrementCounter(daemon.metrics,
                                "poplarfork_downloads_resumed_total");
      return;
    }
  }
  AbortResponse(daemon, request,
                request->caller_disconnected ? "caller_gone" : "answer_cut");
}

Problem MakeAttemptProblem(const Request& request,
                           RequestOutcome outcome,
                           const ExchangeEnd& end) {
  if (!request.maybe_sent)
    return {http::status::service_unavailable, Outcome::kNotRun,
            "upstream_unreachable", std::chrono::seconds(1)};
  if (outcome == RequestOutcome::kTimeout ||
      end.error == boost::asio::error::timed_out)
    return {http::status::gateway_timeout,
            Outcome::kUnknown,
            "deadline_exceeded",
            {}};
  if (outcome == RequestOutcome::kInvalidResponse)
    return {
        http::status::bad_gateway, Outcome::kUnknown, "answer_not_whole", {}};
  return {http::status::bad_gateway, Outcome::kUnknown, "connection_lost", {}};
}

// Handles the end of an attempt without a complete and valid response, if no
// part of the response has been sent to the caller yet.
void OnNoValidResponse(Daemon& daemon,
                       const RequestPtr& request,
                       RequestOutcome outcome,
                       const ExchangeEnd& end) {
  if (request->caller_disconnected && request->repeatable) {
    AbortResponse(daemon, request, "caller_gone");
    return;
  }
  if (RetryIfAllowed(daemon, request, end.progress))
    return;
  RespondWithProblem(daemon, request,
                     MakeAttemptProblem(*request, outcome, end));
}

// Handles the end of an attempt that relayed the request to the only daemon
// that may run it. The response of that daemon is passed to the caller
// unchanged.
void OnRelayEnd(Daemon& daemon,
                const RequestPtr& request,
                const ExchangeEnd& end) {
  if (request->ended)
    return;
  const bool is_complete =
      end.progress == Progress::kComplete && !HasDigestMismatch(*request);
  if (request->delivery_mode == DeliveryMode::kStreamed && !is_complete) {
    AbortResponse(daemon, request, "answer_cut");
    return;
  }
  if (!is_complete) {
    OnRelayFailed(daemon, request);
    return;
  }
  daemon.claimed_requests.erase(request->token);
  request->claimed = false;
  if (request->delivery_mode == DeliveryMode::kStreamed)
    DeliverLastPart(daemon, request);
  else
    DeliverBufferedResponse(daemon, request);
}

}  // namespace

void OnAttemptEnd(Daemon& daemon,
                  const RequestPtr& request,
                  const ExchangeEnd& end) {
  if (request->relaying) {
    OnRelayEnd(daemon, request, end);
    return;
  }
  const RequestOutcome outcome = ClassifyAttempt(*request, end);
  if (end.progress != Progress::kNotConnected)
    request->maybe_sent = true;
  LogFailedAttempt(daemon, *request, outcome, end);
  RecordAttemptOutcome(daemon, *request, outcome, end);
  // A connection that stopped responding is a fault of the connection and not
  // of the upstream, so the same upstream may be tried again.
  request->needs_new_connection = end.is_silent;
  if (end.is_silent && !request->tried_upstreams.empty())
    request->tried_upstreams.pop_back();
  if (request->ended)
    return;
  const bool is_complete =
      end.progress == Progress::kComplete && !request->invalid_response;
  if (request->delivery_mode == DeliveryMode::kStreamed) {
    if (is_complete)
      DeliverLastPart(daemon, request);
    else
      OnStreamInterrupted(daemon, request, end);
    return;
  }
  if (!is_complete) {
    OnNoValidResponse(daemon, request, outcome, end);
    return;
  }
  const bool is_failure = outcome != RequestOutcome::kSuccess;
  if (is_failure && RetryIfAllowed(daemon, request, end.progress))
    return;
  DeliverBufferedResponse(daemon, request);
}

}  // namespace poplarfork::daemon
