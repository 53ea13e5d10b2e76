#include "edge/session.h"

#include <boost/asio/write.hpp>
#include <utility>

#include "clock/now_func.h"
#include "edge/rejection_func.h"

namespace poplarfork::edge {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

// Returns "IP:port" of the remote end, or "unknown" if it has already
// disconnected.
std::string FormatRemoteEndpoint(const asio::ip::tcp::socket& socket) {
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
  this->caller_endpoint = FormatRemoteEndpoint(this->socket);
}

Session::~Session() {
  this->ReleaseReservedBytes();
}

const std::string& Session::CallerEndpoint() const {
  return this->caller_endpoint;
}

bool Session::IsBusy() const {
  return this->phase != Phase::kIdle && this->phase != Phase::kClosed;
}

void Session::Start() {
  error_code ignored;
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  this->ReadNextRequest();
}

void Session::ReadNextRequest() {
  this->phase = Phase::kIdle;
  this->deadline = clock::Now() + this->context->limits.idle_timeout;
  if (this->buffer.size() > 0) {
    this->ReadHeader();
    return;
  }
  this->WaitUntilReadable();
}

// One wait for readability is always pending on an open connection. While a
// request is in progress, it detects that the caller has closed the connection;
// afterwards, it detects the start of the next request.
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
  if (this->phase == Phase::kIdle) {
    this->ReadHeader();
    return;
  }
  if (this->phase != Phase::kAwaitingResponse)
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
  this->context->handlers.on_caller_disconnected(this->shared_from_this());
}

void Session::ReadHeader() {
  this->phase = Phase::kReadingRequest;
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
    this->HandleReadError(error);
    return;
  }
  if (const auto rejection = this->CheckHeader()) {
    this->RespondWithRejection(*rejection);
    return;
  }
  this->http_version = this->parser->get().version();
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
  const std::uint64_t body_bytes =
      length ? *length : this->context->limits.max_body_bytes;
  if (body_bytes > this->context->limits.max_body_bytes)
    return Rejection{http::status::payload_too_large, "body_too_large"};
  if (this->context->buffered_bytes + body_bytes >
      this->context->limits.max_buffered_bytes)
    return Rejection{http::status::service_unavailable, "buffers_full"};
  this->reserved_bytes = body_bytes;
  this->context->buffered_bytes += body_bytes;
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
    this->HandleReadError(error);
    return;
  }
  this->phase = Phase::kAwaitingResponse;
  this->deadline = base::TimePoint::max();
  HttpRequest request = this->parser->release();
  this->parser.reset();
  this->WaitUntilReadable();
  this->context->handlers.on_request(this->shared_from_this(),
                                     std::move(request));
}

void Session::HandleReadError(const error_code& error) {
  if (const auto rejection = FindRejection(error)) {
    this->RespondWithRejection(*rejection);
    return;
  }
  this->Close();
}

void Session::RespondWithRejection(const Rejection& rejection) {
  this->phase = Phase::kAwaitingResponse;
  this->keep_alive = false;
  this->Respond(
      this->context->handlers.on_rejected(this->caller_endpoint, rejection));
}

void Session::Respond(HttpResponse response) {
  if (this->phase != Phase::kAwaitingResponse)
    return;
  this->phase = Phase::kWritingResponse;
  this->deadline = clock::Now() + this->context->limits.write_timeout;
  const bool stay_open = this->keep_alive && !this->context->is_draining;
  response.version(static_cast<int>(this->http_version));
  response.keep_alive(stay_open);
  if (this->is_head)
    response.body().clear();
  else
    response.prepare_payload();
  this->response.emplace(std::move(response));
  http::async_write(this->socket, *this->response,
                    [self = this->shared_from_this(), stay_open](
                        const error_code& error, std::size_t) {
                      self->OnResponseWritten(error, stay_open);
                    });
}

void Session::OnResponseWritten(const error_code& error, bool stay_open) {
  this->response.reset();
  this->stream_serializer.reset();
  this->streamed_response.reset();
  this->ReleaseReservedBytes();
  if (this->phase == Phase::kClosed)
    return;
  if (error || !stay_open) {
    this->Close();
    return;
  }
  this->ReadNextRequest();
}

void Session::StartStream(HttpHeader header,
                          std::function<void(bool)> on_written) {
  if (this->phase != Phase::kAwaitingResponse) {
    on_written(false);
    return;
  }
  this->phase = Phase::kWritingResponse;
  this->deadline = clock::Now() + this->context->limits.write_timeout;
  this->streamed_response.emplace(std::move(header));
  this->streamed_response->version(static_cast<int>(this->http_version));
  this->streamed_response->keep_alive(this->keep_alive &&
                                      !this->context->is_draining);
  if (!this->streamed_response->has_content_length() &&
      this->http_version >= 11)
    this->streamed_response->chunked(true);
  this->streamed_response->body().data = nullptr;
  this->streamed_response->body().more = true;
  this->stream_serializer.emplace(*this->streamed_response);
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
  if (this->phase != Phase::kWritingResponse) {
    on_written(false);
    return;
  }
  this->deadline = clock::Now() + this->context->limits.write_timeout;
  // Beast takes a pointer to mutable data but only reads from it when it writes
  // a message.
  this->streamed_response->body().data = const_cast<char*>(data.data());
  this->streamed_response->body().size = data.size();
  this->streamed_response->body().more = true;
  http::async_write(
      this->socket, *this->stream_serializer,
      [self = this->shared_from_this(), on_written = std::move(on_written)](
          const error_code& error, std::size_t) {
        const bool is_written = !error || error == http::error::need_buffer;
        if (!is_written)
          self->Close();
        on_written(is_written);
      });
}

void Session::EndStream() {
  if (this->phase != Phase::kWritingResponse)
    return;
  const bool stay_open = this->streamed_response->keep_alive() &&
                         (this->streamed_response->chunked() ||
                          this->streamed_response->has_content_length());
  this->streamed_response->body().data = nullptr;
  this->streamed_response->body().size = 0;
  this->streamed_response->body().more = false;
  http::async_write(this->socket, *this->stream_serializer,
                    [self = this->shared_from_this(), stay_open](
                        const error_code& error, std::size_t) {
                      self->OnResponseWritten(error, stay_open);
                    });
}

void Session::Abort() {
  this->Close();
}

void Session::CloseIfExpired(base::TimePoint now) {
  const bool is_idle_while_draining =
      this->context->is_draining && this->phase == Phase::kIdle;
  if (now < this->deadline && !is_idle_while_draining)
    return;
  if (this->phase == Phase::kReadingRequest) {
    this->phase = Phase::kClosed;
    this->context->handlers.on_rejected(
        this->caller_endpoint,
        {http::status::request_timeout, "request_timeout"});
  }
  const bool was_writing = this->phase == Phase::kWritingResponse;
  this->Close();
  if (was_writing)
    this->context->handlers.on_caller_disconnected(this->shared_from_this());
}

void Session::ReleaseReservedBytes() {
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
