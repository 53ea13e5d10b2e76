#include "daemon/attempt_end_func.h"

#include <boost/asio/error.hpp>
#include <memory>
#include <string>
#include <utility>

#include "clock/now_func.h"
#include "daemon/answer_func.h"
#include "daemon/attempt_func.h"
#include "daemon/claim_func.h"
#include "daemon/decision_log_func.h"
#include "daemon/health_func.h"
#include "daemon/service_runtime_func.h"
#include "load/concurrency_limit_func.h"
#include "metrics/registry_func.h"

namespace poplarfork::daemon {

namespace {

namespace http = boost::beast::http;
using health::RequestOutcome;
using upstream::ExchangeEnd;
using upstream::Progress;

constexpr unsigned kFirstServerError = 500;

// An upstream that sheds load responds with 503 and a Retry-After field.
bool IsShed(const Request& request) {
  return request.header.result() == http::status::service_unavailable &&
         request.header.count(http::field::retry_after) > 0;
}

bool IsDigestWrong(Request& request) {
  return request.digest && request.digest->Base64() != request.expected_digest;
}

RequestOutcome OutcomeOfComplete(Request& request) {
  if (IsDigestWrong(request)) {
    request.wrong_answer = true;
    return RequestOutcome::kInvalidResponse;
  }
  if (IsShed(request))
    return RequestOutcome::kShed;
  if (request.header.result_int() >= kFirstServerError)
    return RequestOutcome::kFailure;
  return RequestOutcome::kSuccess;
}

RequestOutcome OutcomeOf(Request& request, const ExchangeEnd& end) {
  if (request.wrong_answer)
    return RequestOutcome::kInvalidResponse;
  if (end.cancelled)
    return RequestOutcome::kCancelled;
  switch (end.progress) {
    case Progress::kComplete:
      return OutcomeOfComplete(request);
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
void Account(Daemon& daemon,
             const Request& request,
             RequestOutcome outcome,
             const ExchangeEnd& end) {
  const auto found = daemon.services.find(request.service);
  if (found == daemon.services.end())
    return;
  ServiceRuntime& service = found->second;
  const base::TimePoint now = clock::Now();
  const bool answered = request.first_byte != base::TimePoint();
  const base::Duration latency =
      (answered ? request.first_byte : now) - request.attempt_started;
  if (const auto position = PositionOf(service, request.upstream)) {
    routing::Candidate& candidate = service.candidates[*position];
    load::ConcurrencyLimit& limit = service.upstreams[*position].concurrency;
    const bool overloaded =
        outcome == RequestOutcome::kShed || outcome == RequestOutcome::kTimeout;
    if (answered || overloaded)
      load::OnLatency(limit, latency, candidate.in_flight, overloaded, now);
    if (candidate.in_flight > 0)
      --candidate.in_flight;
  }
  health::RequestFinished finished;
  finished.request_number = request.attempt_number;
  finished.upstream = request.upstream;
  finished.outcome = outcome;
  finished.latency = latency;
  finished.reused_connection = end.reused;
  finished.fingerprint = request.fingerprint;
  FeedHealth(daemon, service, finished);
}

void LogAttempt(Daemon& daemon,
                const Request& request,
                RequestOutcome outcome,
                const ExchangeEnd& end) {
  if (outcome == RequestOutcome::kSuccess)
    return;
  auto fields = web::json::value::object();
  fields["upstream"] = web::json::value::string(request.upstream.value);
  fields["outcome"] = web::json::value::number(static_cast<int>(outcome));
  fields["error"] = web::json::value::string(end.error.message());
  fields["silent"] = web::json::value::boolean(end.silent);
  fields["reused"] = web::json::value::boolean(end.reused);
  LogRequestDecision(daemon.decisions, request.id.value, "attempt_failed",
                     std::move(fields));
}

void DeliverHeld(Daemon& daemon, const RequestPtr& request) {
  edge::HttpResponse response(std::move(request->header));
  if (request->http->method() != http::verb::head)
    response.body() = std::move(request->held);
  AnswerWhole(daemon, request, std::move(response));
}

// Sends the part of a streamed response that was held back until the response
// was known to be complete.
void DeliverLastPart(Daemon& daemon, const RequestPtr& request) {
  auto kept = std::make_shared<std::string>(std::move(request->held));
  const std::string status = std::to_string(request->header.result_int());
  if (request->claimed)
    EndClaimedStream(daemon, request, true);
  request->session->WritePart(*kept, [&daemon, request, kept, status](bool ok) {
    EndRequest(daemon, request, ok ? status : "caller_gone");
    if (ok)
      request->session->EndStream();
  });
}

// Closes the caller's connection, so that the caller sees that the response is
// incomplete, and ends the request.
void BreakAnswer(Daemon& daemon,
                 const RequestPtr& request,
                 const std::string& reason) {
  if (request->claimed && !request->relaying)
    EndClaimedStream(daemon, request, false);
  daemon.claimed.erase(request->token);
  request->claimed = false;
  request->session->Abort();
  EndRequest(daemon, request, reason);
}

bool CanResumeDownload(const Daemon& daemon, const Request& request) {
  const auto found = daemon.services.find(request.service);
  if (found == daemon.services.end() || request.wrong_answer)
    return false;
  return found->second.policy.resume_by_range && request.repeatable &&
         request.http->method() == http::verb::get &&
         request.header.result() == http::status::ok &&
         request.header.count(http::field::content_length) > 0 &&
         request.entity_tag.starts_with('"');
}

// Handles the end of an attempt whose response was being streamed and is not
// complete: resumes the download if that is possible, otherwise aborts the
// response.
void OnStreamBroken(Daemon& daemon,
                    const RequestPtr& request,
                    const ExchangeEnd& end) {
  if (!request->caller_gone && CanResumeDownload(daemon, *request)) {
    request->resuming = true;
    if (RetryAttempt(daemon, request, end.progress)) {
      metrics::IncrementCounter(daemon.metrics,
                                "poplarfork_downloads_resumed_total");
      return;
    }
  }
  BreakAnswer(daemon, request,
              request->caller_gone ? "caller_gone" : "answer_cut");
}

Problem ProblemOf(const Request& request,
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

// Handles the end of an attempt that brought no complete and valid response, of
// which the caller has got nothing yet.
void OnUnusable(Daemon& daemon,
                const RequestPtr& request,
                RequestOutcome outcome,
                const ExchangeEnd& end) {
  if (request->caller_gone && request->repeatable) {
    BreakAnswer(daemon, request, "caller_gone");
    return;
  }
  if (RetryAttempt(daemon, request, end.progress))
    return;
  AnswerProblem(daemon, request, ProblemOf(*request, outcome, end));
}

// Handles the end of an attempt that relayed the request. The response of the
// daemon that alone may run the request is passed to the caller unchanged.
void OnRelayEnd(Daemon& daemon,
                const RequestPtr& request,
                const ExchangeEnd& end) {
  if (request->answered)
    return;
  const bool whole =
      end.progress == Progress::kComplete && !IsDigestWrong(*request);
  if (request->delivery == Delivery::kStreamed && !whole) {
    BreakAnswer(daemon, request, "answer_cut");
    return;
  }
  if (!whole) {
    OnRelayFailed(daemon, request);
    return;
  }
  daemon.claimed.erase(request->token);
  request->claimed = false;
  if (request->delivery == Delivery::kStreamed)
    DeliverLastPart(daemon, request);
  else
    DeliverHeld(daemon, request);
}

}  // namespace

void OnAttemptEnd(Daemon& daemon,
                  const RequestPtr& request,
                  const ExchangeEnd& end) {
  if (request->relaying) {
    OnRelayEnd(daemon, request, end);
    return;
  }
  const RequestOutcome outcome = OutcomeOf(*request, end);
  if (end.progress != Progress::kNotConnected)
    request->maybe_sent = true;
  LogAttempt(daemon, *request, outcome, end);
  Account(daemon, *request, outcome, end);
  // A connection that stopped responding is a fault of the connection and not
  // of the upstream, so the same upstream may be tried again.
  request->needs_new_connection = end.silent;
  if (end.silent && !request->tried.empty())
    request->tried.pop_back();
  if (request->answered)
    return;
  const bool whole =
      end.progress == Progress::kComplete && !request->wrong_answer;
  if (request->delivery == Delivery::kStreamed) {
    if (whole)
      DeliverLastPart(daemon, request);
    else
      OnStreamBroken(daemon, request, end);
    return;
  }
  if (!whole) {
    OnUnusable(daemon, request, outcome, end);
    return;
  }
  const bool failed = outcome != RequestOutcome::kSuccess;
  if (failed && RetryAttempt(daemon, request, end.progress))
    return;
  DeliverHeld(daemon, request);
}

}  // namespace poplarfork::daemon
