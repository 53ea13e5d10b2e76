#include "edge/session.h"

#include <boost/asio/write.hpp>
#include <utility>

#include "clock/now_func.h"
#include "edge/check_func.h"

namespace poplarfork::edge {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

// Returns "IP:port" of the remote end, or "unknown" if it has already
// disconnected.
std::string EndpointText(const asio::ip::tcp::socket& socket) {
  error_code error;
  const auto endpoint = socket.remote_endpoint(error);
  if (error)
    return "unknown";
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

}  // namespace

Session::Session(asio::ip::tcp::socket socket,
                 std::shared_ptr<SessionContext> context)
    : socket(std::move(socket)), context(std::move(context)) {
  this->caller = EndpointText(this->socket);
}

Session::~Session() {
  this->ReleaseBuffered();
}

const std::string& Session::Caller() const {
  return this->caller;
}

bool Session::IsBusy() const {
  return this->phase != Phase::kIdle && this->phase != Phase::kClosed;
}

void Session::Start() {
  error_code ignored;
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  this->ReadNext();
}

void Session::ReadNext() {
  this->phase = Phase::kIdle;
  this->deadline = clock::Now() + this->context->limits.idle_timeout;
  if (this->buffer.size() > 0) {
    this->ReadHeader();
    return;
  }
  this->WaitReadable();
}

// One wait for readability is always pending on an open connection. While a
// request is in progress, it detects that the caller has closed the connection;
// afterwards, it detects the start of the next request.
void Session::WaitReadable() {
  if (this->waiting_readable)
    return;
  this->waiting_readable = true;
  this->socket.async_wait(
      asio::ip::tcp::socket::wait_read,
      [self = this->shared_from_this()](const error_code& error) {
        self->waiting_readable = false;
        if (!error)
          self->OnReadable();
      });
}

void Session::OnReadable() {
  if (this->phase == Phase::kIdle) {
    this->ReadHeader();
    return;
  }
  if (this->phase != Phase::kBusy)
    return;
  char byte = 0;
  error_code error;
  this->socket.non_blocking(true, error);
  const std::size_t size = this->socket.receive(
      asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  if (size > 0 || error == asio::error::would_block)
    return;
  // A caller that has only shut down its sending direction cannot be
  // distinguished from one that has closed the connection. HTTP clients that
  // half-close are rare, and RFC 9112 section 9.6 allows a server to treat this
  // as a close.
  this->context->handlers.on_gone(this->shared_from_this());
}

void Session::ReadHeader() {
  this->phase = Phase::kReading;
  this->deadline = clock::Now() + this->context->limits.header_timeout;
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
  if (this->phase == Phase::kClosed)
    return;
  if (error) {
    this->RejectError(error);
    return;
  }
  if (const auto rejection = this->CheckHeader()) {
    this->Reject(*rejection);
    return;
  }
  this->version = this->parser->get().version();
  this->keep_alive = this->parser->get().keep_alive();
  this->is_head = this->parser->get().method() == http::verb::head;
  if (this->parser->get()[http::field::expect] == "100-continue" &&
      !this->parser->is_done()) {
    this->ContinueThenReadBody();
    return;
  }
  this->ReadBody();
}

// Checks the header, and reserves buffer space for the body. A body of unknown
// length reserves the maximum.
std::optional<Rejection> Session::CheckHeader() {
  if (auto rejection = CheckFraming(this->parser->get()))
    return rejection;
  if (this->parser->is_done())
    return std::nullopt;
  const auto length = this->parser->content_length();
  const std::uint64_t wanted =
      length ? *length : this->context->limits.max_body_bytes;
  if (wanted > this->context->limits.max_body_bytes)
    return Rejection{http::status::payload_too_large, "body_too_large"};
  if (this->context->buffered_bytes + wanted >
      this->context->limits.max_buffered_bytes)
    return Rejection{http::status::service_unavailable, "buffers_full"};
  this->reserved_bytes = wanted;
  this->context->buffered_bytes += wanted;
  return std::nullopt;
}

void Session::ContinueThenReadBody() {
  asio::async_write(
      this->socket, asio::buffer(kContinue),
      [self = this->shared_from_this()](const error_code& error, std::size_t) {
        if (error) {
          self->Close();
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
  if (this->phase == Phase::kClosed)
    return;
  if (error) {
    this->RejectError(error);
    return;
  }
  this->phase = Phase::kBusy;
  this->deadline = base::TimePoint::max();
  HttpRequest request = this->parser->release();
  this->parser.reset();
  this->WaitReadable();
  this->context->handlers.on_request(this->shared_from_this(),
                                     std::move(request));
}

void Session::RejectError(const error_code& error) {
  if (const auto rejection = RejectionOf(error)) {
    this->Reject(*rejection);
    return;
  }
  this->Close();
}

void Session::Reject(const Rejection& rejection) {
  this->phase = Phase::kBusy;
  this->keep_alive = false;
  this->Respond(this->context->handlers.on_rejected(this->caller, rejection));
}

void Session::Respond(HttpResponse answer) {
  if (this->phase != Phase::kBusy)
    return;
  this->phase = Phase::kWriting;
  this->deadline = clock::Now() + this->context->limits.write_timeout;
  const bool keep = this->keep_alive && !this->context->closing;
  answer.version(static_cast<int>(this->version));
  answer.keep_alive(keep);
  if (this->is_head)
    answer.body().clear();
  else
    answer.prepare_payload();
  this->response.emplace(std::move(answer));
  http::async_write(this->socket, *this->response,
                    [self = this->shared_from_this(), keep](
                        const error_code& error, std::size_t) {
                      self->OnResponded(error, keep);
                    });
}

void Session::OnResponded(const error_code& error, bool keep) {
  this->response.reset();
  this->stream_serializer.reset();
  this->stream.reset();
  this->ReleaseBuffered();
  if (this->phase == Phase::kClosed)
    return;
  if (error || !keep) {
    this->Close();
    return;
  }
  this->ReadNext();
}

void Session::StartStream(HttpHeader header,
                          std::function<void(bool)> on_written) {
  if (this->phase != Phase::kBusy) {
    on_written(false);
    return;
  }
  this->phase = Phase::kWriting;
  this->deadline = clock::Now() + this->context->limits.write_timeout;
  this->stream.emplace(std::move(header));
  this->stream->version(static_cast<int>(this->version));
  this->stream->keep_alive(this->keep_alive && !this->context->closing);
  if (!this->stream->has_content_length() && this->version >= 11)
    this->stream->chunked(true);
  this->stream->body().data = nullptr;
  this->stream->body().more = true;
  this->stream_serializer.emplace(*this->stream);
  http::async_write_header(
      this->socket, *this->stream_serializer,
      [self = this->shared_from_this(), on_written = std::move(on_written)](
          const error_code& error, std::size_t) {
        if (error)
          self->Close();
        on_written(!error);
      });
}

void Session::WritePart(std::string_view data,
                        std::function<void(bool)> on_written) {
  if (this->phase != Phase::kWriting) {
    on_written(false);
    return;
  }
  this->deadline = clock::Now() + this->context->limits.write_timeout;
  // Beast takes a pointer to mutable data but only reads from it when it writes
  // a message.
  this->stream->body().data = const_cast<char*>(data.data());
  this->stream->body().size = data.size();
  this->stream->body().more = true;
  http::async_write(
      this->socket, *this->stream_serializer,
      [self = this->shared_from_this(), on_written = std::move(on_written)](
          const error_code& error, std::size_t) {
        const bool ok = !error || error == http::error::need_buffer;
        if (!ok)
          self->Close();
        on_written(ok);
      });
}

void Session::EndStream() {
  if (this->phase != Phase::kWriting)
    return;
  const bool keep =
      this->stream->keep_alive() &&
      (this->stream->chunked() || this->stream->has_content_length());
  this->stream->body().data = nullptr;
  this->stream->body().size = 0;
  this->stream->body().more = false;
  http::async_write(this->socket, *this->stream_serializer,
                    [self = this->shared_from_this(), keep](
                        const error_code& error, std::size_t) {
                      self->OnResponded(error, keep);
                    });
}

void Session::Abort() {
  this->Close();
}

void Session::Sweep(base::TimePoint now) {
  const bool idle_while_closing =
      this->context->closing && this->phase == Phase::kIdle;
  if (now < this->deadline && !idle_while_closing)
    return;
  if (this->phase == Phase::kReading) {
    this->phase = Phase::kClosed;
    this->context->handlers.on_rejected(
        this->caller, {http::status::request_timeout, "request_timeout"});
  }
  const bool was_writing = this->phase == Phase::kWriting;
  this->Close();
  if (was_writing)
    this->context->handlers.on_gone(this->shared_from_this());
}

void Session::ReleaseBuffered() {
  this->context->buffered_bytes -= this->reserved_bytes;
  this->reserved_bytes = 0;
}

void Session::Close() {
  this->phase = Phase::kClosed;
  error_code ignored;
  this->socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  this->socket.close(ignored);
}

}  // namespace poplarfork::edge
