#include <boost/asio/buffer.hpp>
#include <utility>

#include "clock/now_func.h"
#include "edge/peer_close_func.h"
#include "edge/pipeline_func.h"
#include "edge/session.h"

namespace poplarfork::edge {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// Longest time for which input is discarded after the last response. A caller
// that has received the response closes the connection within a round trip.
constexpr base::Duration kDiscardTimeout = std::chrono::seconds(2);

}  // namespace

// Ends exchanges that have been removed from the pipeline. The handlers of
// those in progress are told that no response is needed any more.
void Session::Drop(const std::vector<PipelineEntry>& entries) {
  std::vector<std::shared_ptr<Exchange>> running;
  std::vector<StatePtr> dropped;
  for (const PipelineEntry& entry : entries) {
    const auto found = this->states.find(entry.number);
    if (found == this->states.end())
      continue;
    if (entry.stage == ExchangeStage::kRunning)
      running.push_back(this->GetHandle(entry.number, *found->second));
    dropped.push_back(std::move(found->second));
    this->states.erase(found);
  }
  for (const auto& exchange : running)
    this->context->handlers.on_caller_disconnected(exchange);
  for (const StatePtr& state : dropped) {
    if (auto on_written = std::exchange(state->on_stream_started, nullptr))
      on_written(false);
  }
}

// Returns the handle that the handlers use, or a new one if they do not keep
// it.
std::shared_ptr<Exchange> Session::GetHandle(ExchangeNumber number,
                                             const ExchangeState& state) {
  if (auto handle = state.handle.lock())
    return handle;
  return std::make_shared<Exchange>(this->shared_from_this(), number,
                                    state.received_at);
}

void Session::AbortExchange(ExchangeNumber number) {
  const StatePtr state = this->FindState(number);
  if (!state)
    return;
  // The handler that ends its own exchange needs no notice.
  this->states.erase(number);
  this->CloseAndDrop();
  if (auto on_written = std::exchange(state->on_stream_started, nullptr))
    on_written(false);
}

void Session::Abort() {
  EndAll(this->pipeline);
  this->states.clear();
  this->CloseSocket();
}

void Session::CloseAndDrop() {
  if (this->is_closed)
    return;
  this->CloseSocket();
  this->Drop(EndAll(this->pipeline));
}

void Session::CloseIfExpired(base::TimePoint now) {
  if (this->is_closed)
    return;
  const bool is_idle = !this->IsBusy();
  if (now >= this->write_deadline) {
    // The handlers consider the exchange whose response is being written as
    // answered, unless the response is sent in parts.
    const ExchangeNumber number = this->pipeline.entries.front().number;
    const auto writing = this->GetHandle(number, *this->FindState(number));
    this->CloseAndDrop();
    this->context->handlers.on_caller_disconnected(writing);
    return;
  }
  const bool must_close =
      this->context->is_draining && !this->is_discarding && !this->IsNew();
  if (is_idle && this->HasArrivedRequest())
    return;
  if (is_idle && (must_close || now >= this->read_deadline)) {
    this->CloseAndDrop();
    return;
  }
  if (now >= this->read_deadline) {
    this->OnReadTimeout();
    return;
  }
  // Input that is not read hides the end of the stream from the wait for
  // readability.
  if (this->context->limits.pipeline_limit > 1 &&
      !this->pipeline.entries.empty() && HasPeerClosed(this->socket))
    this->OnCallerClosed();
}

// Returns whether no request of the connection has been received. A caller
// sends its first request right after it has connected, and takes a connection
// that closes without a response to it for a failure.
bool Session::IsNew() const {
  return this->next_exchange_number == 1;
}

// Returns whether the start of a request has arrived that has not been read.
bool Session::HasArrivedRequest() const {
  error_code ignored;
  return !this->is_discarding && this->socket.available(ignored) > 0;
}

// Input that arrives at a closed socket, or is unread when it is closed, resets
// the connection, and the part of the response that the caller has not received
// yet is lost (RFC 9112 section 9.6). Input is therefore discarded until the
// caller closes the connection.
void Session::CloseAfterResponse() {
  this->StopReading();
  this->Drop(EndAll(this->pipeline));
  this->is_discarding = true;
  this->read_deadline = clock::Now() + kDiscardTimeout;
  error_code error;
  this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
  if (error)
    this->CloseAndDrop();
  else
    this->DiscardInput();
}

void Session::DiscardInput() {
  this->socket.async_read_some(
      asio::buffer(this->discarded_input),
      [self = this->shared_from_this()](const error_code& error, std::size_t) {
        if (self->is_closed)
          return;
        if (error)
          self->CloseAndDrop();
        else
          self->DiscardInput();
      });
}

void Session::CloseSocket() {
  this->is_closed = true;
  this->read_phase = ReadPhase::kEnded;
  this->read_deadline = base::TimePoint::max();
  this->write_deadline = base::TimePoint::max();
  this->request_charge = {};
  this->request_copy_charge = {};
  error_code ignored;
  this->socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  this->socket.close(ignored);
}

}  // namespace poplarfork::edge
