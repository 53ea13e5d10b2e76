#include "daemon/delivery_func.h"

#include <charconv>
#include <string>
#include <string_view>
#include <utility>

#include "claim/claim_func.h"
#include "clock/now_func.h"
#include "daemon/answer_func.h"
#include "daemon/attempt_end_func.h"
#include "daemon/header_func.h"
#include "daemon/health_func.h"
#include "daemon/service_runtime_func.h"

namespace poplarfork::daemon {

namespace {

namespace http = boost::beast::http;

// Responses up to this size are buffered until they are complete, so that after
// an interrupted response the request can be sent again before the caller has
// got any part of the response.
constexpr std::size_t kHeldBytes = 64 * 1024;

std::string_view ToStdView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

std::optional<std::uint64_t> LengthOf(const http::fields& fields) {
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
void TakeHints(Daemon& daemon,
               const Request& request,
               const upstream::HttpHeader& header,
               base::TimePoint now) {
  const auto found = daemon.services.find(request.service);
  if (found == daemon.services.end())
    return;
  ServiceRuntime& service = found->second;
  const auto position = PositionOf(service, request.upstream);
  if (!position)
    return;
  const auto load_text = header["Upstream-Load"];
  double reported = 0;
  const auto parsed = std::from_chars(
      load_text.data(), load_text.data() + load_text.size(), reported);
  if (!load_text.empty() && parsed.ec == std::errc() && reported >= 0) {
    routing::Candidate& candidate = service.candidates[*position];
    candidate.reported_load = reported;
    candidate.reported_at = now;
    candidate.has_report = true;
  }
  const auto state = header["Upstream-State"];
  if (!state.empty()) {
    FeedHealth(daemon, service,
               health::DrainChanged{request.upstream, state == "draining"});
  }
}

// Tells whether the response belongs to another request. This is detected only
// with upstreams that echo the request id.
bool IsCrossed(const Request& request, const upstream::HttpHeader& header) {
  const auto echoed = header["Poplarfork-Request-Id"];
  return !echoed.empty() && ToStdView(echoed) != request.id.value;
}

bool ContinuesDownload(const Request& request,
                       const upstream::HttpHeader& header) {
  const std::string start =
      "bytes " + std::to_string(request.received_bytes) + "-";
  return header.result() == http::status::partial_content &&
         ToStdView(header[http::field::etag]) == request.entity_tag &&
         ToStdView(header[http::field::content_range]).starts_with(start);
}

void PrepareDigest(Request& request, const upstream::HttpHeader& header) {
  request.expected_digest =
      header.result() == http::status::ok ? DigestOf(header) : std::string();
  const bool has_body = request.http->method() != http::verb::head;
  if (!request.expected_digest.empty() && has_body)
    request.digest = std::make_unique<Digest>();
}

edge::HttpHeader CallerHeader(const Request& request,
                              const upstream::HttpHeader& header) {
  edge::HttpHeader result(header);
  const bool had_length = header.count(http::field::content_length) > 0;
  RemoveHopByHopFields(result);
  if (!had_length)
    result.erase(http::field::content_length);
  if (request.relaying)
    return result;
  result.set("Poplarfork-Request-Id", request.id.value);
  if (header.result_int() >= 500)
    result.set("Poplarfork-Outcome", "failed");
  return result;
}

void Resume(const RequestPtr& request) {
  request->exchange->Resume();
}

// Continues to read the response once a part has been written to the caller; so
// a slow caller holds only a bounded amount of memory. If the write failed, the
// caller has disconnected and the exchange is cancelled.
void ResumeWhenWritten(const RequestPtr& request, bool ok) {
  if (ok) {
    Resume(request);
    return;
  }
  request->caller_gone = true;
  request->exchange->Cancel();
}

void BeginStream(const RequestPtr& request) {
  request->delivery = Delivery::kStreamed;
  request->session->StartStream(
      request->header, [request](bool ok) { ResumeWhenWritten(request, ok); });
}

void OnHeader(Daemon& daemon,
              const RequestPtr& request,
              const upstream::HttpHeader& header) {
  const base::TimePoint now = clock::Now();
  request->first_byte = now;
  TakeHints(daemon, *request, header, now);
  const bool crossed = !request->relaying && IsCrossed(*request, header);
  const bool wrong =
      request->resuming ? !ContinuesDownload(*request, header) : crossed;
  if (wrong) {
    request->wrong_answer = true;
    request->exchange->Cancel();
    return;
  }
  if (request->resuming) {
    Resume(request);
    return;
  }
  request->header = CallerHeader(*request, header);
  request->entity_tag = std::string(ToStdView(header[http::field::etag]));
  PrepareDigest(*request, header);
  const auto length = LengthOf(header);
  const bool has_body = request->http->method() != http::verb::head;
  if (has_body && length && *length > kHeldBytes && header.result_int() < 500) {
    BeginStream(request);
    return;
  }
  request->delivery = Delivery::kHeld;
  Resume(request);
}

// Sends the part that was held back and holds back `next_part` instead, so that
// the caller does not get the last part before the body has been checked.
void WriteKeptPart(const RequestPtr& request, std::string next) {
  auto kept = std::make_shared<std::string>(std::move(request->held));
  request->held = std::move(next);
  request->session->WritePart(
      *kept, [request, kept](bool ok) { ResumeWhenWritten(request, ok); });
}

void OnBody(const RequestPtr& request, std::string_view part) {
  request->received_bytes += part.size();
  if (request->digest)
    request->digest->Add(part);
  if (request->delivery == Delivery::kHeld) {
    request->held += part;
    const bool too_long =
        request->held.size() > kHeldBytes && request->header.result_int() < 500;
    if (too_long)
      BeginStream(request);
    else
      Resume(request);
    return;
  }
  if (request->held.empty()) {
    request->held = part;
    Resume(request);
    return;
  }
  WriteKeptPart(request, std::string(part));
}

}  // namespace

upstream::ExchangeHandlers MakeHandlers(Daemon& daemon,
                                        const RequestPtr& request) {
  upstream::ExchangeHandlers handlers;
  if (request->claimed && !request->relaying) {
    handlers.on_sending = [&daemon, request] {
      claim::OnRequestSent(daemon.claims, request->token);
    };
  }
  handlers.on_header = [&daemon, request](const upstream::HttpHeader& header) {
    OnHeader(daemon, request, header);
  };
  handlers.on_body = [request](std::string_view part) {
    OnBody(request, part);
  };
  handlers.on_end = [&daemon, request](const upstream::ExchangeEnd& end) {
    OnAttemptEnd(daemon, request, end);
  };
  return handlers;
}

}  // namespace poplarfork::daemon
