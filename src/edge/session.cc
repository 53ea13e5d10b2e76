#include "edge/session.h"

#include <algorithm>
#include <utility>

#include "clock/now_func.h"
#include "edge/pipeline_func.h"

namespace poplarfork::edge {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

// Returns "IP:port" of the remote end, or "unknown" if it has already
// disconnected.
std::string FormatRemoteEndpoint(const asio::ip::tcp::socket& socket) {
  error_code error;
  const auto endpoint = socket.remote_endpoint(error);
  if (error)
    return "unknown";
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

// Returns whether a response asks for the connection to be closed after it.
bool RequestsClose(const HttpHeader& header) {
  return http::token_list(header[http::field::connection]).exists("close");
}

}  // namespace

Session::Session(asio::ip::tcp::socket socket,
                 std::shared_ptr<SessionContext> context)
    : socket(std::move(socket)), context(std::move(context)) {
  this->caller_endpoint = FormatRemoteEndpoint(this->socket);
}

const std::string& Session::CallerEndpoint() const {
  return this->caller_endpoint;
}

bool Session::IsBusy() const {
  return !this->is_closed && !this->is_discarding &&
         (!this->pipeline.entries.empty() ||
          this->read_phase == ReadPhase::kReading);
}

void Session::Start() {
  error_code ignored;
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  this->Advance();
}

// A handler may respond while it is called from here; the loop then runs once
// more in place of a recursion.
void Session::Advance() {
  if (this->is_advancing) {
    this->must_advance_again = true;
    return;
  }
  this->is_advancing = true;
  do {
    this->must_advance_again = false;
    if (!this->is_closed)
      this->StartRequests();
    if (!this->is_closed)
      this->WriteResponse();
    if (!this->is_closed)
      this->ContinueReading();
  } while (this->must_advance_again && !this->is_closed);
  this->is_advancing = false;
}

// Whether a request may overlap is asked anew each time, because a new
// configuration may have changed it while the request was held.
void Session::StartRequests() {
  while (!this->is_closed) {
    PipelineEntry* entry = FindFirstHeld(this->pipeline);
    if (!entry)
      return;
    const Handlers& handlers = this->context->handlers;
    if (entry != &this->pipeline.entries.front())
      entry->may_overlap =
          handlers.may_overlap &&
          handlers.may_overlap(this->FindState(entry->number)->request);
    if (!MayStartFirstHeld(this->pipeline, this->context->is_draining))
      return;
    this->StartRequest(*entry);
  }
}

void Session::StartRequest(PipelineEntry& entry) {
  const StatePtr state = this->FindState(entry.number);
  entry.stage = ExchangeStage::kRunning;
  entry.has_started = true;
  auto exchange = std::make_shared<Exchange>(this->shared_from_this(),
                                             entry.number, state->received_at);
  state->handle = exchange;
  this->context->handlers.on_request(std::move(exchange),
                                     std::move(state->request));
}

Session::StatePtr Session::FindState(ExchangeNumber number) const {
  const auto found = this->states.find(number);
  return found == this->states.end() ? nullptr : found->second;
}

void Session::Respond(ExchangeNumber number, HttpResponse response) {
  PipelineEntry* entry = FindExchange(this->pipeline, number);
  if (!entry || entry->stage != ExchangeStage::kRunning)
    return;
  const StatePtr state = this->FindState(number);
  const bool closes = RequestsClose(response);
  const std::uint64_t bytes = response.body().size();
  state->response.emplace(std::move(response));
  state->response_charge = {entry == &this->pipeline.entries.front()
                                ? this->context->buffered->parent
                                : this->context->buffered,
                            bytes};
  this->Drop(SetAnswered(this->pipeline, number, closes, bytes));
  this->Advance();
}

void Session::WriteResponse() {
  const auto start = StartWrite(this->pipeline, this->context->is_draining);
  if (!start)
    return;
  this->write_deadline = clock::Now() + this->context->limits.write_timeout;
  const StatePtr state = this->FindState(start->number);
  state->stay_open = start->stay_open;
  state->response_charge = {this->context->buffered->parent,
                            state->response_charge.Bytes()};
  if (state->response)
    this->WriteWhole(state);
  else
    this->WriteStreamHeader(state);
  this->Drop(start->dropped);
}

void Session::WriteWhole(const StatePtr& state) {
  HttpResponse& response = *state->response;
  response.version(static_cast<int>(state->http_version));
  response.keep_alive(state->stay_open);
  if (state->is_head)
    response.body().clear();
  else
    response.prepare_payload();
  http::async_write(this->socket, response,
                    [self = this->shared_from_this(), state](
                        const error_code& error, std::size_t) {
                      self->OnResponseWritten(error, state->stay_open);
                    });
}

void Session::OnResponseWritten(const error_code& error, bool stay_open) {
  if (this->is_closed)
    return;
  if (error) {
    this->CloseAndDrop();
    return;
  }
  // The handler that called this function still owns the state.
  const StatePtr state = this->FindState(this->pipeline.entries.front().number);
  state->request_charge = {};
  state->request_copy_charge = {};
  state->response_charge = {};
  this->states.erase(this->pipeline.entries.front().number);
  FinishWrite(this->pipeline);
  this->write_deadline = base::TimePoint::max();
  if (!stay_open) {
    this->CloseAfterResponse();
    return;
  }
  this->Advance();
}

void Session::StartStream(ExchangeNumber number,
                          HttpHeader header,
                          std::function<void(bool)> on_written) {
  PipelineEntry* entry = FindExchange(this->pipeline, number);
  if (!entry || entry->stage != ExchangeStage::kRunning) {
    on_written(false);
    return;
  }
  const StatePtr state = this->FindState(number);
  state->on_stream_started = std::move(on_written);
  auto& response = state->streamed_response.emplace(std::move(header));
  response.version(static_cast<int>(state->http_version));
  if (!response.has_content_length() && state->http_version >= 11)
    response.chunked(true);
  response.body().data = nullptr;
  response.body().more = true;
  // The end of a body with neither a length nor chunks is marked by the close.
  const bool closes = !response.has_content_length() && !response.chunked();
  this->Drop(SetAnswered(this->pipeline, number, closes, 0));
  this->Advance();
}

void Session::WriteStreamHeader(const StatePtr& state) {
  state->streamed_response->keep_alive(state->stay_open);
  state->stream_serializer.emplace(*state->streamed_response);
  auto on_written = std::exchange(state->on_stream_started, nullptr);
  http::async_write_header(this->socket, *state->stream_serializer,
                           [self = this->shared_from_this(), state,
                            on_written = std::move(on_written)](
                               const error_code& error, std::size_t) {
                             if (error)
                               self->CloseAndDrop();
                             on_written(!error);
                           });
}

// Returns the state of the exchange if its streamed response is being written.
Session::StatePtr Session::FindStreamBeingWritten(ExchangeNumber number) const {
  if (this->is_closed || this->pipeline.entries.empty() ||
      this->pipeline.entries.front().number != number ||
      this->pipeline.entries.front().stage != ExchangeStage::kWriting)
    return nullptr;
  StatePtr state = this->FindState(number);
  return state->stream_serializer ? state : nullptr;
}

void Session::WritePart(ExchangeNumber number,
                        std::string_view data,
                        std::function<void(bool)> on_written) {
  const StatePtr state = this->FindStreamBeingWritten(number);
  if (!state) {
    on_written(false);
    return;
  }
  this->write_deadline = clock::Now() + this->context->limits.write_timeout;
  // Beast takes a pointer to mutable data but only reads from it when it writes
  // a message.
  state->streamed_response->body().data = const_cast<char*>(data.data());
  state->streamed_response->body().size = data.size();
  state->streamed_response->body().more = true;
  http::async_write(this->socket, *state->stream_serializer,
                    [self = this->shared_from_this(), state,
                     on_written = std::move(on_written)](
                        const error_code& error, std::size_t) {
                      const bool is_written =
                          !error || error == http::error::need_buffer;
                      if (!is_written)
                        self->CloseAndDrop();
                      on_written(is_written);
                    });
}

void Session::EndStream(ExchangeNumber number) {
  const StatePtr state = this->FindStreamBeingWritten(number);
  if (!state)
    return;
  state->streamed_response->body().data = nullptr;
  state->streamed_response->body().size = 0;
  state->streamed_response->body().more = false;
  http::async_write(this->socket, *state->stream_serializer,
                    [self = this->shared_from_this(), state](
                        const error_code& error, std::size_t) {
                      self->OnResponseWritten(error, state->stay_open);
                    });
}

}  // namespace poplarfork::edge
