#include <boost/asio/write.hpp>
#include <utility>

#include "base/memory_budget_func.h"
#include "clock/now_func.h"
#include "edge/pipeline_func.h"
#include "edge/rejection_func.h"
#include "edge/session.h"

namespace poplarfork::edge {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

PipelineLimits MakePipelineLimits(const Limits& limits) {
  return {limits.pipeline_limit, limits.max_pipelined_bytes};
}

// Returns whether an error means that the caller is gone, rather than that it
// has sent invalid input.
bool IsCallerGone(const error_code& error) {
  return error == http::error::end_of_stream ||
         error == http::error::partial_message ||
         error.category() == asio::error::get_system_category();
}

}  // namespace

// Reads the next request if that is allowed. One wait for readability is
// pending otherwise: while requests are in progress, it detects that the caller
// has closed the connection; on an idle connection, it detects the start of the
// next request.
void Session::ContinueReading() {
  // A request behind a response that closes the connection counts as not read.
  const bool is_reading = this->read_phase == ReadPhase::kReading ||
                          this->read_phase == ReadPhase::kBodyHeld;
  if (is_reading && !this->pipeline.accepts_requests)
    this->StopReading();
  if (this->read_phase == ReadPhase::kBodyHeld)
    this->ReadBodyIfAllowed();
  if (this->read_phase != ReadPhase::kNone) {
    // All responses that precede an end of reading have been written.
    if (this->read_phase == ReadPhase::kEnded &&
        this->pipeline.entries.empty() && !this->is_discarding)
      this->CloseAfterResponse();
    return;
  }
  if (this->pipeline.entries.empty())
    this->read_deadline = clock::Now() + this->context->limits.idle_timeout;
  const bool has_server_space = this->context->buffered->bytes <=
                                this->context->limits.max_buffered_bytes;
  if (this->buffer.size() > 0 &&
      MayReadRequest(this->pipeline, MakePipelineLimits(this->context->limits),
                     has_server_space, this->context->is_draining)) {
    this->ReadHeader();
    return;
  }
  this->WaitUntilReadable();
}

void Session::WaitUntilReadable() {
  if (this->is_waiting_readable)
    return;
  this->is_waiting_readable = true;
  this->socket.async_wait(
      asio::ip::tcp::socket::wait_read,
      [self = this->shared_from_this()](const error_code& error) {
        self->is_waiting_readable = false;
        if (!error)
          self->OnReadable();
      });
}

void Session::OnReadable() {
  if (this->is_closed || this->is_discarding ||
      this->read_phase == ReadPhase::kReading ||
      (this->read_phase == ReadPhase::kEnded && this->pipeline.entries.empty()))
    return;
  if (this->pipeline.entries.empty()) {
    this->ReadHeader();
    return;
  }
  char byte = 0;
  error_code error;
  this->socket.non_blocking(true, error);
  const std::size_t size = this->socket.receive(
      asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  if (error == asio::error::would_block) {
    this->WaitUntilReadable();
    return;
  }
  // A caller that has only shut down its sending direction cannot be
  // distinguished from one that has closed the connection. HTTP clients that
  // half-close are rare, and RFC 9112 section 9.6 allows a server to treat this
  // as a close.
  if (size == 0) {
    this->OnCallerClosed();
    return;
  }
  const bool has_server_space = this->context->buffered->bytes <=
                                this->context->limits.max_buffered_bytes;
  if (this->read_phase == ReadPhase::kNone &&
      MayReadRequest(this->pipeline, MakePipelineLimits(this->context->limits),
                     has_server_space, this->context->is_draining))
    this->ReadHeader();
}

void Session::ReadHeader() {
  this->read_phase = ReadPhase::kReading;
  this->read_deadline = clock::Now() + this->context->limits.header_timeout;
  this->parser.emplace();
  this->parser->header_limit(this->context->limits.max_header_bytes);
  this->parser->body_limit(this->context->limits.max_body_bytes);
  http::async_read_header(
      this->socket, this->buffer, *this->parser,
      [self = this->shared_from_this()](const error_code& error, std::size_t) {
        self->OnHeader(error);
      });
}

void Session::OnHeader(const error_code& error) {
  if (this->read_phase != ReadPhase::kReading) {
    this->OnReadGivenUp(error);
    return;
  }
  if (error) {
    this->HandleReadError(error);
    return;
  }
  if (const auto rejection = this->CheckHeader()) {
    this->Reject(*rejection);
    return;
  }
  this->ReadBodyIfAllowed();
}

std::optional<Rejection> Session::CheckHeader() const {
  if (auto rejection = CheckFraming(this->parser->get()))
    return rejection;
  if (this->parser->content_length().value_or(0) >
      this->context->limits.max_body_bytes)
    return Rejection{http::status::payload_too_large, "body_too_large"};
  return std::nullopt;
}

// Reserves space for the body and reads it, rejects the request, or leaves the
// body unread until the exchanges before it are over. A body of unknown length
// reserves the maximum.
void Session::ReadBodyIfAllowed() {
  const std::uint64_t body_bytes =
      this->parser->is_done() ? 0
                              : this->parser->content_length().value_or(
                                    this->context->limits.max_body_bytes);
  const char* full_buffer = this->FindFullBuffer(body_bytes);
  const bool expects_continue =
      !this->parser->is_done() &&
      this->parser->get()[http::field::expect] == "100-continue";
  const BodyDecision decision =
      DecideBody(this->pipeline, expects_continue, !full_buffer);
  if (decision == BodyDecision::kWait) {
    this->read_phase = ReadPhase::kBodyHeld;
    this->read_deadline = base::TimePoint::max();
    this->WaitUntilReadable();
    return;
  }
  if (decision == BodyDecision::kReject) {
    this->Reject({http::status::service_unavailable, full_buffer});
    return;
  }
  if (this->read_phase == ReadPhase::kBodyHeld)
    this->read_deadline = clock::Now() + this->context->limits.header_timeout;
  this->read_phase = ReadPhase::kReading;
  this->request_charge = {this->context->buffered, body_bytes};
  this->request_copy_charge = {this->context->buffered->parent, body_bytes};
  if (decision == BodyDecision::kContinueThenRead)
    this->ContinueThenReadBody();
  else
    this->ReadBody();
}

// Returns the reason why there is no space for a body, or null.
const char* Session::FindFullBuffer(std::uint64_t body_bytes) const {
  if (body_bytes == 0)
    return nullptr;
  const base::ByteCounter* memory = this->context->buffered->parent.get();
  if (memory && !base::MayTakeRequest(this->context->limits.memory_budget,
                                      memory->bytes, 2 * body_bytes))
    return "memory_pressure";
  return this->context->buffered->bytes + body_bytes >
                 this->context->limits.max_buffered_bytes
             ? "buffers_full"
             : nullptr;
}

void Session::ContinueThenReadBody() {
  asio::async_write(
      this->socket, asio::buffer(kContinue),
      [self = this->shared_from_this()](const error_code& error, std::size_t) {
        if (self->read_phase != ReadPhase::kReading)
          return;
        if (error) {
          self->CloseAndDrop();
          return;
        }
        self->ReadBody();
      });
}

void Session::ReadBody() {
  if (this->parser->is_done()) {
    this->OnBody({});
    return;
  }
  http::async_read(
      this->socket, this->buffer, *this->parser,
      [self = this->shared_from_this()](const error_code& error, std::size_t) {
        self->OnBody(error);
      });
}

void Session::OnBody(const error_code& error) {
  if (this->read_phase != ReadPhase::kReading) {
    this->OnReadGivenUp(error);
    return;
  }
  if (error) {
    this->HandleReadError(error);
    return;
  }
  this->read_phase = ReadPhase::kNone;
  this->read_deadline = base::TimePoint::max();
  auto state = std::make_shared<ExchangeState>();
  state->request = this->parser->release();
  this->parser.reset();
  state->received_at = clock::Now();
  state->http_version = state->request.version();
  state->is_head = state->request.method() == http::verb::head;
  this->request_charge.Resize(state->request.body().size());
  this->request_copy_charge.Resize(state->request.body().size());
  state->request_charge = std::move(this->request_charge);
  state->request_copy_charge = std::move(this->request_copy_charge);
  PipelineEntry entry;
  entry.number = {this->next_exchange_number++};
  entry.closes = !state->request.keep_alive();
  entry.request_bytes = state->request_charge.Bytes();
  this->states[entry.number] = std::move(state);
  AddExchange(this->pipeline, entry);
  this->Advance();
}

// Handles the end of a read operation whose request has been given up. Of two
// operations that are pending on a socket, Asio informs only the first of the
// end of the stream, so the one that discards input may not learn of it.
void Session::OnReadGivenUp(const error_code& error) {
  if (this->is_discarding && error && IsCallerGone(error))
    this->CloseAndDrop();
}

void Session::HandleReadError(const error_code& error) {
  const bool is_first = this->pipeline.entries.empty();
  if (!is_first && IsCallerGone(error)) {
    this->OnCallerClosed();
    return;
  }
  if (const auto rejection = FindRejection(error)) {
    this->Reject(*rejection);
    return;
  }
  this->StopReading();
  if (is_first)
    this->CloseAndDrop();
}

// The response to invalid input is sent in its turn and is the last one.
void Session::Reject(const Rejection& rejection) {
  auto state = std::make_shared<ExchangeState>();
  if (this->parser->is_header_done()) {
    state->http_version = this->parser->get().version();
    state->is_head = this->parser->get().method() == http::verb::head;
  }
  this->StopReading();
  state->response.emplace(
      this->context->handlers.on_rejected(this->caller_endpoint, rejection));
  PipelineEntry entry;
  entry.number = {this->next_exchange_number++};
  entry.stage = ExchangeStage::kAnswered;
  entry.closes = true;
  this->states[entry.number] = std::move(state);
  AddExchange(this->pipeline, entry);
  this->Advance();
}

// A request that is not received in time gets no response. The connection is
// closed after the responses to the requests before it.
void Session::OnReadTimeout() {
  this->StopReading();
  this->context->handlers.on_rejected(
      this->caller_endpoint,
      {http::status::request_timeout, "request_timeout"});
  if (this->pipeline.entries.empty())
    this->CloseAndDrop();
}

// The parser is kept, because a read operation on it may be pending. Its body
// stays counted until the connection closes; the copy for an upstream will not
// exist.
void Session::StopReading() {
  this->read_phase = ReadPhase::kEnded;
  this->read_deadline = base::TimePoint::max();
  this->request_copy_charge = {};
  this->pipeline.accepts_requests = false;
}

// Requests that have not been started count as not read. The handlers end those
// that are being processed.
void Session::OnCallerClosed() {
  this->StopReading();
  this->Drop(EndReading(this->pipeline));
  std::vector<ExchangeNumber> running;
  for (const PipelineEntry& entry : this->pipeline.entries) {
    if (entry.stage == ExchangeStage::kRunning)
      running.push_back(entry.number);
  }
  // The first handler may close the connection, which ends the others.
  for (const ExchangeNumber number : running) {
    if (const StatePtr state = this->FindState(number))
      this->context->handlers.on_caller_disconnected(
          this->GetHandle(number, *state));
  }
}

}  // namespace poplarfork::edge
