#include "daemon/delivery_func.h"

#include <charconv>
#include <string>
#include <string_view>
#include <utility>

#include "claim/claim_func.h"
#include "clock/now_func.h"
#include "daemon/attempt_end_func.h"
#include "daemon/header_func.h"
#include "daemon/health_func.h"
#include "daemon/request_end_func.h"
#include "daemon/service_runtime_func.h"

namespace poplarfork::daemon {

namespace {

namespace http = boost::beast::http;

// Responses up to this size are buffered until they are complete. If such a
// response is interrupted, the caller has received no part of it yet, so the
// request can be sent again.
constexpr std::size_t kMaxBufferedResponseBytes = 64 * 1024;

std::string_view ToStringView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

std::optional<std::uint64_t> ParseContentLength(const http::fields& fields) {
  const auto field = fields[http::field::content_length];
  std::uint64_t length = 0;
  const char* end = field.data() + field.size();
  const auto parsed = std::from_chars(field.data(), end, length);
  if (field.empty() || parsed.ec != std::errc() || parsed.ptr != end)
    return std::nullopt;
  return length;
}

// Applies the load and the draining state that the upstream reports about
// itself. Both fields are only hints: a reported load loses weight with its
// age, and a draining upstream only gets no new requests.
void ApplyUpstreamHints(Daemon& daemon,
                        const Request& request,
                        const upstream::HttpHeader& header,
                        base::TimePoint now) {
  const auto found = daemon.services.find(request.service);
  if (found == daemon.services.end())
    return;
  ServiceRuntime& service = found->second;
  const auto upstream_index = FindUpstreamIndex(service, request.upstream);
  if (!upstream_index)
    return;
  const auto load_text = header["Upstream-Load"];
  double reported = 0;
  const auto parsed = std::from_chars(
      load_text.data(), load_text.data() + load_text.size(), reported);
  if (!load_text.empty() && parsed.ec == std::errc() && reported >= 0) {
    routing::Candidate& candidate = service.candidates[*upstream_index];
    candidate.reported_load = reported;
    candidate.reported_at = now;
    candidate.has_report = true;
  }
  const auto state = header["Upstream-State"];
  if (!state.empty()) {
    HandleHealthEvent(
        daemon, service,
        health::DrainChanged{request.upstream, state == "draining"});
  }
}

// Returns whether the response belongs to another request. This is detected
// only with upstreams that echo the request id.
bool HasWrongRequestId(const Request& request,
                       const upstream::HttpHeader& header) {
  const auto echoed = header["Poplarfork-Request-Id"];
  return !echoed.empty() && ToStringView(echoed) != request.id.value;
}

bool IsDownloadContinuation(const Request& request,
                            const upstream::HttpHeader& header) {
  const std::string expected_range =
      "bytes " + std::to_string(request.received_bytes) + "-";
  return header.result() == http::status::partial_content &&
         ToStringView(header[http::field::etag]) == request.entity_tag &&
         ToStringView(header[http::field::content_range])
             .starts_with(expected_range);
}

void PrepareDigest(Request& request, const upstream::HttpHeader& header) {
  request.expected_digest = header.result() == http::status::ok
                                ? ParseDigestField(header)
                                : std::string();
  const bool has_body = request.http_request->method() != http::verb::head;
  if (!request.expected_digest.empty() && has_body)
    request.body_digest = std::make_unique<Digest>();
}

edge::HttpHeader MakeCallerHeader(const Request& request,
                                  const upstream::HttpHeader& header) {
  edge::HttpHeader result(header);
  const bool has_length = header.count(http::field::content_length) > 0;
  RemoveHopByHopFields(result);
  if (!has_length)
    result.erase(http::field::content_length);
  if (request.relaying)
    return result;
  result.set("Poplarfork-Request-Id", request.id.value);
  if (header.result_int() >= 500)
    result.set("Poplarfork-Outcome", "failed");
  return result;
}

void ResumeReading(const RequestPtr& request) {
  request->exchange->Resume();
}

// Continues to read the response only after a part has been written to the
// caller, so that the response to a slow caller occupies a bounded amount of
// memory. If the write failed, the caller has disconnected and the exchange is
// cancelled.
void OnPartWritten(const RequestPtr& request, bool success) {
  if (success) {
    ResumeReading(request);
    return;
  }
  request->caller_disconnected = true;
  request->exchange->Cancel();
}

void StartStreaming(const RequestPtr& request) {
  request->delivery_mode = DeliveryMode::kStreamed;
  request->caller_exchange->StartStream(
      request->response_header,
      [request](bool success) { OnPartWritten(request, success); });
}

void OnResponseHeader(Daemon& daemon,
                      const RequestPtr& request,
                      const upstream::HttpHeader& header) {
  const base::TimePoint now = clock::Now();
  request->first_byte_at = now;
  ApplyUpstreamHints(daemon, *request, header, now);
  const bool has_wrong_request_id =
      !request->relaying && HasWrongRequestId(*request, header);
  const bool is_invalid = request->resuming_download
                              ? !IsDownloadContinuation(*request, header)
                              : has_wrong_request_id;
  if (is_invalid) {
    request->invalid_response = true;
    request->exchange->Cancel();
    return;
  }
  if (request->resuming_download) {
    ResumeReading(request);
    return;
  }
  request->response_header = MakeCallerHeader(*request, header);
  request->entity_tag = std::string(ToStringView(header[http::field::etag]));
  PrepareDigest(*request, header);
  const auto length = ParseContentLength(header);
  const bool has_body = request->http_request->method() != http::verb::head;
  if (has_body && length && *length > kMaxBufferedResponseBytes &&
      header.result_int() < 500) {
    StartStreaming(request);
    return;
  }
  request->delivery_mode = DeliveryMode::kBuffered;
  ResumeReading(request);
}

// Sends the part that was held back and holds back `next_part` instead, so that
// the caller does not get the last part before the body has been checked.
void WriteBufferedPart(const RequestPtr& request, std::string next_part) {
  auto part = std::make_shared<std::string>(std::move(request->buffered_body));
  request->buffered_body = std::move(next_part);
  request->caller_exchange->WritePart(*part, [request, part](bool success) {
    OnPartWritten(request, success);
  });
}

void OnBodyPart(const RequestPtr& request, std::string_view part) {
  request->received_bytes += part.size();
  if (request->body_digest)
    request->body_digest->Update(part);
  if (request->delivery_mode == DeliveryMode::kBuffered) {
    request->buffered_body += part;
    const bool exceeds_buffer =
        request->buffered_body.size() > kMaxBufferedResponseBytes &&
        request->response_header.result_int() < 500;
    if (exceeds_buffer)
      StartStreaming(request);
    else
      ResumeReading(request);
    return;
  }
  if (request->buffered_body.empty()) {
    request->buffered_body = part;
    ResumeReading(request);
    return;
  }
  WriteBufferedPart(request, std::string(part));
}

}  // namespace

upstream::ExchangeHandlers MakeExchangeHandlers(Daemon& daemon,
                                                const RequestPtr& request) {
  upstream::ExchangeHandlers handlers;
  if (request->claimed && !request->relaying) {
    handlers.on_sending = [&daemon, request] {
      claim::OnRequestSent(daemon.claims, request->token);
    };
  }
  handlers.on_header = [&daemon, request](const upstream::HttpHeader& header) {
    OnResponseHeader(daemon, request, header);
  };
  handlers.on_body = [request](std::string_view part) {
    OnBodyPart(request, part);
  };
  handlers.on_end = [&daemon, request](const upstream::ExchangeEnd& end) {
    OnAttemptEnd(daemon, request, end);
  };
  return handlers;
}

}  // namespace poplarfork::daemon
