#include "standin/upstream_answer_func.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include <boost/beast/http/status.hpp>

#include "standin/body_content_func.h"
#include "standin/byte_range_func.h"
#include "standin/control_func.h"
#include "standin/http_server_func.h"
#include "standin/upstream_state_func.h"

namespace poplarfork::standin {

namespace {

using web::json::value;

constexpr std::uint64_t kPieceBytes = 64 * 1024;

// A response whose body is either `body_text` or generated from `seed`; the
// generated body starts at `first_byte` of the whole content.
struct OutgoingAnswer {
  unsigned status = 200;
  std::vector<ReplyHeader> headers;
  std::string text;
  bool is_generated = false;
  std::uint64_t seed = 0;
  std::uint64_t first = 0;
  std::uint64_t length = 0;
  // Bytes of the body that are sent: fewer than `content_length` for a
  // truncated body, none for HEAD.
  std::uint64_t sent_length = 0;
};

using AnswerPtr = std::shared_ptr<OutgoingAnswer>;

std::string HeadText(const OutgoingAnswer& answer) {
  const auto reason = boost::beast::http::obsolete_reason(
      static_cast<boost::beast::http::status>(answer.status));
  std::string head = "HTTP/1.1 " + std::to_string(answer.status) + " ";
  head.append(reason.data(), reason.size());
  head += "\r\n";
  for (const ReplyHeader& header : answer.headers)
    head += header.name + ": " + header.value + "\r\n";
  head += "Content-Length: " + std::to_string(answer.length) + "\r\n\r\n";
  return head;
}

std::string PieceOf(const OutgoingAnswer& answer, std::uint64_t offset) {
  const std::uint64_t size = std::min(kPieceBytes, answer.sent_length - offset);
  if (answer.is_generated)
    return GenerateContent(answer.seed, answer.first + offset, size);
  return answer.text.substr(offset, size);
}

void SendPieces(const JobPtr& job,
                const AnswerPtr& answer,
                std::string bytes,
                std::uint64_t offset,
                const std::function<void()>& on_sent) {
  if (offset < answer->sent_length) {
    const std::string piece = PieceOf(*answer, offset);
    bytes += piece;
    offset += piece.size();
  }
  SendBytes(job->connection, std::move(bytes),
            [job, answer, offset, on_sent](bool sent) {
              if (sent && offset < answer->sent_length) {
                SendPieces(job, answer, "", offset, on_sent);
                return;
              }
              on_sent();
              if (!sent)
                return;
              if (answer->sent_length < answer->length)
                CloseConnection(job->connection);
              else
                FinishReply(job->connection);
            });
}

void Send(const JobPtr& job,
          OutgoingAnswer answer,
          const std::function<void()>& on_sent) {
  answer.sent_length = answer.length;
  if (job->plan.is_cut)
    answer.sent_length = answer.length / 2;
  if (job->source.method == "HEAD")
    answer.sent_length = 0;
  if (!job->connection->head.keep_alive())
    answer.headers.push_back({"Connection", "close"});
  const auto shared = std::make_shared<OutgoingAnswer>(std::move(answer));
  std::string head = HeadText(*shared);
  if (job->source.method == "HEAD")
    shared->length = 0;
  SendPieces(job, shared, std::move(head), 0, on_sent);
}

// Returns a JSON text that repeats the parts of the request, so that a caller
// can check which request the response belongs to.
std::string EchoText(const UpstreamState& state, const AnswerSource& source) {
  value json = value::object();
  json["upstream"] = value::string(state.name);
  json["method"] = value::string(source.method);
  json["target"] = value::string(source.target);
  json["request_id"] = value::string(source.request_id);
  json["idempotency_key"] = value::string(source.idempotency_key);
  json["body_bytes"] = value::number(source.body_bytes);
  return json.serialize();
}

OutgoingAnswer TextAnswer(unsigned status,
                          std::vector<ReplyHeader> headers,
                          std::string text) {
  OutgoingAnswer answer;
  answer.status = status;
  answer.headers = std::move(headers);
  answer.headers.push_back({"Content-Type", "application/json"});
  answer.headers.push_back({"Digest", TextDigest(text)});
  answer.length = text.size();
  answer.text = std::move(text);
  return answer;
}

std::string ETagOf(const AnswerSource& source) {
  return "\"" + std::to_string(source.generated_bytes) + "-" +
         std::to_string(source.generated_seed) + "\"";
}

void ApplyRange(OutgoingAnswer& answer, const AnswerSource& source) {
  const std::uint64_t size = source.generated_bytes;
  const bool is_valid =
      source.if_range.empty() || source.if_range == ETagOf(source);
  const RangeChoice choice =
      is_valid ? ChooseRange(source.range, size) : RangeChoice{};
  if (choice.kind == RangeKind::kWhole)
    return;
  const std::string total = "/" + std::to_string(size);
  if (choice.kind == RangeKind::kUnsatisfiable) {
    answer.status = 416;
    answer.length = 0;
    answer.headers.push_back({"Content-Range", "bytes *" + total});
    return;
  }
  answer.status = 206;
  answer.first = choice.range.first;
  answer.length = choice.range.last - choice.range.first + 1;
  answer.headers.push_back(
      {"Content-Range", "bytes " + std::to_string(choice.range.first) + "-" +
                            std::to_string(choice.range.last) + total});
}

// Makes a response with a generated body or, if the request has a Range header,
// with a part of it. The Digest header is that of the whole body in both cases.
OutgoingAnswer GeneratedAnswer(std::vector<ReplyHeader> headers,
                               const AnswerSource& source,
                               const std::string& digest) {
  OutgoingAnswer answer;
  answer.headers = std::move(headers);
  answer.headers.push_back({"Content-Type", "application/octet-stream"});
  answer.headers.push_back({"Accept-Ranges", "bytes"});
  answer.headers.push_back({"ETag", ETagOf(source)});
  answer.headers.push_back({"Digest", digest});
  answer.is_generated = true;
  answer.seed = source.generated_seed;
  answer.length = source.generated_bytes;
  ApplyRange(answer, source);
  return answer;
}

// Returns the request that the response is made from: the job's own request or,
// if `is_for_previous_request` is set, the previous one. Stores the job's
// request as the previous one for the next job.
AnswerSource ChooseSource(UpstreamState& state, const Job& job) {
  AnswerSource source = job.source;
  if (job.plan.is_crossed && state.previous) {
    source = *state.previous;
    if (job.plan.has_own_id)
      source.request_id = job.source.request_id;
  }
  state.previous = job.source;
  return source;
}

}  // namespace

std::vector<ReplyHeader> CommonHeaders(const UpstreamState& state,
                                       const AnswerSource& source) {
  std::array<char, 32> load{};
  std::snprintf(load.data(), load.size(), "%.3f", CurrentLoad(state));
  std::vector<ReplyHeader> headers;
  headers.push_back({"Upstream-Name", state.name});
  headers.push_back({"Upstream-Load", load.data()});
  if (state.draining_since)
    headers.push_back({"Upstream-State", "draining"});
  if (!source.request_id.empty())
    headers.push_back({"Poplarfork-Request-Id", source.request_id});
  return headers;
}

void SendAnswer(const UpstreamServerPtr& upstream,
                const JobPtr& job,
                std::function<void()> on_sent) {
  const AnswerSource source = ChooseSource(upstream->state, *job);
  const auto headers = CommonHeaders(upstream->state, source);
  if (job->plan.status != 200 || !source.is_generated) {
    const std::string text = EchoText(upstream->state, source);
    Send(job, TextAnswer(job->plan.status, headers, text), on_sent);
    return;
  }
  const BodyId body{source.generated_seed, source.generated_bytes};
  ComputeDigest(upstream->server->executor, upstream->digests, body,
                [job, headers, source,
                 on_sent = std::move(on_sent)](const std::string& digest) {
                  Send(job, GeneratedAnswer(headers, source, digest), on_sent);
                });
}

void SendStatus(const UpstreamServerPtr& upstream,
                const JobPtr& job,
                unsigned status,
                const std::string& text) {
  auto headers = CommonHeaders(upstream->state, job->source);
  if (status == 503)
    headers.push_back({"Retry-After", "1"});
  value json = value::object();
  json["reason"] = value::string(text);
  Send(job, TextAnswer(status, headers, json.serialize()), []() {});
}

}  // namespace poplarfork::standin
