#include "gateway/attempt_driver.h"

#include <algorithm>
#include <utility>

#include "clock/now_func.h"
#include "gateway/log_func.h"
#include "metrics/registry_func.h"
#include "platform/request_func.h"

namespace poplarfork::gateway {

namespace {

namespace http = boost::beast::http;
using request::AttemptEnd;
using request::AttemptResult;
using upstream::Progress;
using upstream::WholeAnswer;

// Largest response body of an upstream. A response is buffered completely
// before its first byte is sent to the caller, so that the caller never takes a
// response that breaks off for a complete one. Larger responses are treated as
// invalid.
constexpr std::size_t kMaxAnswerBytes = 16 * 1024 * 1024;

// Lower limit of the connections that one daemon may have open to an upstream.
// Above it, each daemon gets an equal share of the connections that the
// upstream accepts from all of them.
constexpr std::uint32_t kMinConnections = 4;

// Returns whether a caller takes this response status for a promise that the
// request has not run.
bool IsPromise(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// Returns the result of an attempt, from the progress of its connection and
// from the status and the header fields of the response.
AttemptResult ResultOf(const WholeAnswer& answer,
                       const platform::AnswerFields& fields,
                       bool repeatable) {
  const unsigned status = answer.header.result_int();
  if (answer.end.progress == Progress::kNotConnected)
    return answer.end.error == boost::asio::error::connection_refused
               ? AttemptResult::kConnectionRefused
               : AttemptResult::kNotConnected;
  if (!answer.IsComplete())
    return answer.too_large ? AttemptResult::kInvalidResponse
                            : AttemptResult::kConnectionBroken;
  if (!fields.echoes_request || fields.is_encoded)
    return AttemptResult::kInvalidResponse;
  if (status == platform::kMisdirectedStatus)
    return AttemptResult::kMisdirected;
  if (fields.not_run && status != 400)
    return AttemptResult::kNotRun;
  const auto status_class = http::to_status_class(answer.header.result());
  if (status_class == http::status_class::successful)
    return fields.is_signed ? AttemptResult::kCompleted
                            : AttemptResult::kInvalidResponse;
  if (IsPromise(status) && !repeatable)
    return AttemptResult::kFailedMisleadingStatus;
  if (status_class == http::status_class::server_error || IsPromise(status))
    return AttemptResult::kFailed;
  return AttemptResult::kCompleted;
}

// Sets the number of connections that this daemon may have open to the upstream
// of the current attempt.
void LimitConnections(Gateway& gateway, const LiveRequest& live) {
  const auto& services = gateway.configuration->services;
  const auto found = services.find({live.service});
  if (found == services.end() || !live.core.attempt)
    return;
  const auto daemons = static_cast<std::uint32_t>(
      std::max<std::size_t>(gateway.view.members.size(), 1));
  gateway.upstream_pool.addresses[live.core.attempt->address].max_open =
      std::max(found->second.max_connections / daemons, kMinConnections);
}

const char* ResultName(AttemptResult result) {
  switch (result) {
    case AttemptResult::kNotConnected:
      return "not_connected";
    case AttemptResult::kConnectionRefused:
      return "connection_refused";
    case AttemptResult::kCompleted:
      return "answered";
    case AttemptResult::kFailed:
      return "failed";
    case AttemptResult::kFailedMisleadingStatus:
      return "failed_with_a_promise_status";
    case AttemptResult::kNotRun:
      return "not_run";
    case AttemptResult::kMisdirected:
      return "misdirected";
    case AttemptResult::kConnectionBroken:
      return "broken";
    case AttemptResult::kInvalidResponse:
      return "bad_answer";
  }
  return "unknown";
}

void LogFailedAttempt(Gateway& gateway,
                      const LiveRequest& live,
                      const request::Attempt& attempt,
                      const WholeAnswer& answer,
                      const AttemptEnd& end) {
  Log(gateway, "attempt_failed",
      {{"request", live.request_id},
       {"upstream", attempt.upstream.value},
       {"address", attempt.address},
       {"result", ResultName(end.result)},
       {"status", answer.IsComplete() ? answer.header.result_int() : 0},
       {"error", answer.end.error.message()},
       {"reused_connection", answer.end.reused},
       {"duration_ms", ToMilliseconds(end.duration)}});
}

}  // namespace

void RunAttempt(Gateway& gateway,
                LiveRequest& live,
                const request::StartAttempt& start,
                std::function<void(const AttemptEnd&)> on_end) {
  LimitConnections(gateway, live);
  const bool repeatable = live.core.arrival.work_class.repeatable;
  upstream::CallOptions options;
  options.address = start.attempt.address;
  // If the upstream closes a reused connection, this daemon cannot tell whether
  // the upstream closed it as idle or ran the request and lost the response. A
  // request that must not run twice therefore needs a new connection.
  options.reuse =
      repeatable ? upstream::Reuse::kAllowed : upstream::Reuse::kNewConnection;
  options.timeout = start.time_left;
  options.max_body_bytes = kMaxAnswerBytes;
  auto request =
      std::make_shared<edge::HttpRequest>(platform::MakeUpstreamRequest(
          live.http, start.time_left, start.attempt.upstream));
  const base::TimePoint started = clock::Now();
  live.exchange_attempt = start.attempt.id;
  live.exchange = upstream::StartCall(
      gateway.loop, gateway.upstream_pool, options, std::move(request),
      [&gateway, number = live.core.arrival.number, attempt = start.attempt,
       repeatable, started, on_end = std::move(on_end)](WholeAnswer answer) {
        const auto found = gateway.requests.find(number);
        if (found == gateway.requests.end() ||
            found->second->exchange_attempt != attempt.id)
          return;
        LiveRequest& owner = *found->second;
        owner.exchange.reset();
        const platform::AnswerFields fields =
            platform::ReadAnswerFields(answer.header, owner.request_id);
        AttemptEnd end;
        end.result = ResultOf(answer, fields, repeatable);
        end.duration = clock::Now() - started;
        end.has_reported_load = fields.load.has_value();
        end.reported_load = fields.load.value_or(dispatch::ReportedLoad{});
        if (end.result != AttemptResult::kCompleted)
          LogFailedAttempt(gateway, owner, attempt, answer, end);
        metrics::Count(gateway.metrics,
                       std::string("attempts_total{result=\"") +
                           ResultName(end.result) + "\"}");
        if (end.result == AttemptResult::kCompleted)
          owner.answer = std::move(answer);
        else if (end.result == AttemptResult::kFailed)
          owner.kept_failure = std::move(answer);
        on_end(end);
      });
}

void CancelRunningAttempt(LiveRequest& live) {
  live.exchange_attempt = {};
  if (live.exchange)
    live.exchange->Cancel();
  live.exchange.reset();
}

}  // namespace poplarfork::gateway
