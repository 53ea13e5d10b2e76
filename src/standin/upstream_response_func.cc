#include "standin/upstream_response_func.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include <boost/beast/http/status.hpp>

#include "standin/body_content_func.h"
#include "standin/byte_range_func.h"
#include "standin/http_server_func.h"
#include "standin/response_func.h"
#include "standin/upstream_state_func.h"

namespace poplarfork::standin {

namespace {

using web::json::value;

constexpr std::uint64_t kWriteBlockBytes = 64 * 1024;

// A response whose body is either `body_text` or generated from `seed`; the
// generated body starts at `first_byte` of the whole content.
struct OutgoingResponse {
  unsigned status = 200;
  std::vector<ResponseHeader> headers;
  std::string body_text;
  bool is_generated = false;
  std::uint64_t seed = 0;
  std::uint64_t first_byte = 0;
  std::uint64_t content_length = 0;
  // Bytes of the body that are sent: fewer than `content_length` for a
  // truncated body, none for HEAD.
  std::uint64_t bytes_to_send = 0;
};

using OutgoingResponsePtr = std::shared_ptr<OutgoingResponse>;

std::string FormatHead(const OutgoingResponse& response) {
  const auto reason = boost::beast::http::obsolete_reason(
      static_cast<boost::beast::http::status>(response.status));
  std::string head = "HTTP/1.1 " + std::to_string(response.status) + " ";
  head.append(reason.data(), reason.size());
  head += "\r\n";
  for (const ResponseHeader& header : response.headers)
    head += header.name + ": " + header.value + "\r\n";
  head +=
      "Content-Length: " + std::to_string(response.content_length) + "\r\n\r\n";
  return head;
}

std::string MakeBodyBlock(const OutgoingResponse& response,
                          std::uint64_t offset) {
  const std::uint64_t size =
      std::min(kWriteBlockBytes, response.bytes_to_send - offset);
  if (response.is_generated)
    return GenerateContent(response.seed, response.first_byte + offset, size);
  return response.body_text.substr(offset, size);
}

void SendNextBlock(const JobPtr& job,
                   const OutgoingResponsePtr& response,
                   std::string bytes,
                   std::uint64_t offset,
                   const std::function<void()>& on_sent) {
  if (offset < response->bytes_to_send) {
    const std::string block = MakeBodyBlock(*response, offset);
    bytes += block;
    offset += block.size();
  }
  SendBytes(job->connection, std::move(bytes),
            [job, response, offset, on_sent](bool sent) {
              if (sent && offset < response->bytes_to_send) {
                SendNextBlock(job, response, "", offset, on_sent);
                return;
              }
              on_sent();
              if (!sent)
                return;
              if (response->bytes_to_send < response->content_length)
                CloseConnection(job->connection);
              else
                FinishResponse(job->connection);
            });
}

void StartSending(const JobPtr& job,
                  OutgoingResponse response,
                  const std::function<void()>& on_sent) {
  response.bytes_to_send = response.content_length;
  if (job->plan.is_body_truncated)
    response.bytes_to_send = response.content_length / 2;
  if (job->request.method == "HEAD")
    response.bytes_to_send = 0;
  if (!job->connection->head.keep_alive())
    response.headers.push_back({"Connection", "close"});
  const auto shared_response =
      std::make_shared<OutgoingResponse>(std::move(response));
  std::string head = FormatHead(*shared_response);
  if (job->request.method == "HEAD")
    shared_response->content_length = 0;
  SendNextBlock(job, shared_response, std::move(head), 0, on_sent);
}

// Returns a JSON text that repeats the parts of the request, so that a caller
// can check which request the response belongs to.
std::string MakeEchoText(const UpstreamState& state,
                         const RequestInfo& request) {
  value json = value::object();
  json["upstream"] = value::string(state.name);
  json["method"] = value::string(request.method);
  json["target"] = value::string(request.target);
  json["request_id"] = value::string(request.request_id);
  json["idempotency_key"] = value::string(request.idempotency_key);
  json["body_bytes"] = value::number(request.body_bytes);
  return json.serialize();
}

OutgoingResponse MakeTextResponse(unsigned status,
                                  std::vector<ResponseHeader> headers,
                                  std::string text) {
  OutgoingResponse response;
  response.status = status;
  response.headers = std::move(headers);
  response.headers.push_back({"Content-Type", "application/json"});
  response.headers.push_back({"Digest", MakeDigestHeader(text)});
  response.content_length = text.size();
  response.body_text = std::move(text);
  return response;
}

std::string MakeETag(const RequestInfo& request) {
  return "\"" + std::to_string(request.generated_bytes) + "-" +
         std::to_string(request.generated_seed) + "\"";
}

void ApplyRange(OutgoingResponse& response, const RequestInfo& request) {
  const std::uint64_t size = request.generated_bytes;
  const bool is_range_valid =
      request.if_range.empty() || request.if_range == MakeETag(request);
  const RangeSelection selection =
      is_range_valid ? SelectRange(request.range, size) : RangeSelection{};
  if (selection.kind == RangeKind::kWholeBody)
    return;
  const std::string total_suffix = "/" + std::to_string(size);
  if (selection.kind == RangeKind::kUnsatisfiable) {
    response.status = 416;
    response.content_length = 0;
    response.headers.push_back({"Content-Range", "bytes *" + total_suffix});
    return;
  }
  response.status = 206;
  response.first_byte = selection.range.first;
  response.content_length = selection.range.last - selection.range.first + 1;
  response.headers.push_back(
      {"Content-Range", "bytes " + std::to_string(selection.range.first) + "-" +
                            std::to_string(selection.range.last) +
                            total_suffix});
}

// Makes a response with a generated body or, if the request has a Range header,
// with a part of it. The Digest header is that of the whole body in both cases.
OutgoingResponse MakeGeneratedResponse(std::vector<ResponseHeader> headers,
                                       const RequestInfo& request,
                                       const std::string& digest) {
  OutgoingResponse response;
  response.headers = std::move(headers);
  response.headers.push_back({"Content-Type", "application/octet-stream"});
  response.headers.push_back({"Accept-Ranges", "bytes"});
  response.headers.push_back({"ETag", MakeETag(request)});
  response.headers.push_back({"Digest", digest});
  response.is_generated = true;
  response.seed = request.generated_seed;
  response.content_length = request.generated_bytes;
  ApplyRange(response, request);
  return response;
}

// Returns the request that the response is made from: the job's own request or,
// if `is_for_previous_request` is set, the previous one. Stores the job's
// request as the previous one for the next job.
RequestInfo SelectAnsweredRequest(UpstreamState& state, const Job& job) {
  RequestInfo request = job.request;
  if (job.plan.is_for_previous_request && state.previous_request) {
    request = *state.previous_request;
    if (job.plan.has_own_request_id)
      request.request_id = job.request.request_id;
  }
  state.previous_request = job.request;
  return request;
}

}  // namespace

std::vector<ResponseHeader> CommonHeaders(const UpstreamState& state,
                                          const RequestInfo& request) {
  std::array<char, 32> load{};
  std::snprintf(load.data(), load.size(), "%.3f", CurrentLoad(state));
  std::vector<ResponseHeader> headers;
  headers.push_back({"Upstream-Name", state.name});
  headers.push_back({"Upstream-Load", load.data()});
  if (state.draining_since)
    headers.push_back({"Upstream-State", "draining"});
  if (!request.request_id.empty())
    headers.push_back({"Poplarfork-Request-Id", request.request_id});
  return headers;
}

void SendJobResponse(const UpstreamServerPtr& upstream,
                     const JobPtr& job,
                     std::function<void()> on_sent) {
  const RequestInfo request = SelectAnsweredRequest(upstream->state, *job);
  const auto headers = CommonHeaders(upstream->state, request);
  if (job->plan.status != 200 || !request.is_generated) {
    const std::string text = MakeEchoText(upstream->state, request);
    StartSending(job, MakeTextResponse(job->plan.status, headers, text),
                 on_sent);
    return;
  }
  const BodyId body{request.generated_seed, request.generated_bytes};
  ComputeBodyDigest(upstream->server->executor, upstream->digest_cache, body,
                    [job, headers, request,
                     on_sent = std::move(on_sent)](const std::string& digest) {
                      StartSending(
                          job, MakeGeneratedResponse(headers, request, digest),
                          on_sent);
                    });
}

void SendStatusResponse(const UpstreamServerPtr& upstream,
                        const JobPtr& job,
                        unsigned status,
                        const std::string& text) {
  auto headers = CommonHeaders(upstream->state, job->request);
  if (status == 503)
    headers.push_back({"Retry-After", "1"});
  value json = value::object();
  json["reason"] = value::string(text);
  StartSending(job, MakeTextResponse(status, headers, json.serialize()),
               []() {});
}

}  // namespace poplarfork::standin
