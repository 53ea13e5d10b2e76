#include "upstream/exchange.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <cstdlib>
#include <limits>
#include <string_view>
#include <utility>

#include "clock/now_func.h"
#include "upstream/keep_alive_func.h"
#include "upstream/pool_func.h"

namespace poplarfork::upstream {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::uint32_t kMaxResponseHeaderBytes = 64 * 1024;

// Upper limit of the bytes that are read but not parsed yet. It exceeds the
// limit of the header, and limits what the parser does not: chunk sizes, chunk
// extensions and trailers.
constexpr std::size_t kMaxReadBufferBytes = 128 * 1024;

// Upper limit of the informational responses before the final one.
constexpr unsigned kMaxInterimResponses = 16;

// A connection is reused only within half of the idle timeout that the upstream
// announces. A request sent later may meet a close that the upstream has
// already sent.
constexpr int kIdleTimeoutDivisor = 2;

asio::ip::tcp::endpoint ParseEndpoint(const std::string& address,
                                      error_code& error) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    error = asio::error::invalid_argument;
    return {};
  }
  const auto ip = asio::ip::make_address(address.substr(0, colon), error);
  const int port = std::atoi(address.c_str() + colon + 1);
  return {ip, static_cast<unsigned short>(port)};
}

// Makes the kernel close the connection if the other end does not acknowledge
// sent data within the limit. The kernel of an upstream that is still working
// acknowledges data; if a device on the path has lost the state of the
// connection, nothing does.
void SetTcpUserTimeout(asio::ip::tcp::socket& socket, base::Duration timeout) {
  const auto milliseconds = static_cast<unsigned>(
      std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count());
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
               &milliseconds, sizeof(milliseconds));
}

// The status class of Beast is not used, because it does not know all
// informational statuses and would take such a response for the final one.
bool IsInformational(unsigned status) {
  return status >= 100 && status < 200;
}

// Statuses that a final response may have. Beast accepts any three digits, and
// RFC 9110 defines no classes beyond 5xx.
bool IsFinalStatus(unsigned status) {
  return status >= 200 && status <= 599;
}

// Returns whether an error says that the bytes of the upstream are no valid
// response. A connection that ends too early is no such error.
bool IsParseError(const error_code& error) {
  static const auto& parser_category =
      http::make_error_code(http::error::bad_status).category();
  return error.category() == parser_category &&
         error != http::error::end_of_stream &&
         error != http::error::partial_message;
}

}  // namespace

Exchange::Exchange(asio::io_context& loop,
                   Pool& pool,
                   ExchangeHandlers handlers)
    : pool(pool), handlers(std::move(handlers)), loop(loop), timer(loop) {}

void Exchange::Start(std::string address,
                     std::shared_ptr<const HttpRequest> request,
                     ConnectionReuse reuse,
                     base::Duration timeout) {
  const base::TimePoint now = clock::Now();
  this->address = std::move(address);
  this->request = std::move(request);
  this->deadline = now + timeout;
  AddressPool& address_pool = this->pool.address_pools[this->address];
  ++address_pool.in_use;
  this->is_counted_in_use = true;
  this->pool_generation = address_pool.generation;
  if (reuse == ConnectionReuse::kAllowed)
    this->connection = TakeIdleConnection(this->pool, this->address, now);
  if (!this->connection) {
    EvictIdleConnections(this->pool, this->address);
    this->Connect();
    return;
  }
  this->end.is_connection_reused = true;
  this->Send();
}

void Exchange::LimitAnswerTime(base::Duration limit) {
  this->answer_timeout = limit;
}

bool Exchange::IsConnectionReused() const {
  return this->end.is_connection_reused;
}

void Exchange::Connect() {
  error_code error;
  const auto endpoint = ParseEndpoint(this->address, error);
  this->connection = std::make_unique<Connection>(
      Connection{asio::ip::tcp::socket(this->loop),
                 boost::beast::flat_buffer(kMaxReadBufferBytes),
                 0,
                 {}});
  auto self = this->shared_from_this();
  if (error) {
    asio::post(this->loop, [self, error] { self->Finish(error); });
    return;
  }
  this->ArmTimer(this->pool.limits.connect_timeout, false);
  this->connection->socket.async_connect(
      endpoint, [self](const error_code& code) { self->OnConnected(code); });
}

void Exchange::OnConnected(const error_code& error) {
  if (this->is_finished)
    return;
  if (error) {
    this->Finish(error);
    return;
  }
  error_code ignored;
  this->connection->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  SetTcpUserTimeout(this->connection->socket,
                    this->pool.limits.silence_timeout);
  this->Send();
}

void Exchange::Send() {
  this->end.progress = Progress::kMaybeSent;
  if (this->handlers.on_sending)
    this->handlers.on_sending();
  this->ArmTimer(this->answer_timeout.value_or(base::Duration::max()),
                 this->answer_timeout.has_value());
  this->serializer = std::make_unique<Serializer>(*this->request);
  http::async_write(
      this->connection->socket, *this->serializer,
      [self = this->shared_from_this()](const error_code& code, std::size_t) {
        self->OnSent(code);
      });
}

void Exchange::OnSent(const error_code& error) {
  if (this->is_finished)
    return;
  if (error) {
    this->Finish(error);
    return;
  }
  this->ReadHeader();
}

void Exchange::ReadHeader() {
  this->parser.emplace();
  this->parser->header_limit(kMaxResponseHeaderBytes);
  // An unlimited body is set as the largest number, because boost::none makes
  // Boost 1.74 refuse every Content-Length.
  this->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
  if (this->request->method() == http::verb::head)
    this->parser->skip(true);
  http::async_read_header(
      this->connection->socket, this->connection->buffer, *this->parser,
      [self = this->shared_from_this()](const error_code& code, std::size_t) {
        self->OnHeader(code);
      });
}

void Exchange::OnHeader(const error_code& error) {
  if (this->is_finished)
    return;
  if (error) {
    this->Finish(error);
    return;
  }
  const unsigned status = this->parser->get().result_int();
  if (IsInformational(status)) {
    this->OnInterimHeader(status);
    return;
  }
  if (!IsFinalStatus(status)) {
    this->RejectStatus(status);
    return;
  }
  this->end.progress = Progress::kHeaderReceived;
  if (const auto timeout = ParseKeepAliveTimeout(this->parser->get()))
    this->connection->max_idle_time = *timeout / kIdleTimeoutDivisor;
  this->ArmTimer(base::Duration::max(), false);
  this->handlers.on_header(this->parser->get());
}

void Exchange::OnInterimHeader(unsigned status) {
  // No request asks for another protocol, and what follows 101 is not HTTP.
  const bool is_switching =
      status == static_cast<unsigned>(http::status::switching_protocols);
  if (is_switching || ++this->interim_responses > kMaxInterimResponses)
    this->RejectStatus(status);
  else
    this->ReadHeader();
}

void Exchange::RejectStatus(unsigned status) {
  this->end.rejected_status = status;
  this->Finish(http::error::bad_status);
}

void Exchange::Resume() {
  if (this->is_finished)
    return;
  asio::post(this->loop,
             [self = this->shared_from_this()] { self->ReadBody(); });
}

void Exchange::ReadBody() {
  if (this->is_finished)
    return;
  if (this->parser->is_done()) {
    this->end.progress = Progress::kComplete;
    this->Finish({});
    return;
  }
  if (!this->part_buffer)
    this->part_buffer = std::make_unique<std::array<char, kBodyPartBytes>>();
  this->parser->get().body().data = this->part_buffer->data();
  this->parser->get().body().size = this->part_buffer->size();
  http::async_read_some(
      this->connection->socket, this->connection->buffer, *this->parser,
      [self = this->shared_from_this()](const error_code& code, std::size_t) {
        self->OnBody(code);
      });
}

void Exchange::OnBody(const error_code& error) {
  if (this->is_finished)
    return;
  if (error && error != http::error::need_buffer) {
    this->Finish(error);
    return;
  }
  const std::size_t size =
      this->part_buffer->size() - this->parser->get().body().size;
  if (size == 0) {
    this->ReadBody();
    return;
  }
  this->handlers.on_body(std::string_view(this->part_buffer->data(), size));
}

void Exchange::Cancel() {
  if (this->is_finished)
    return;
  this->end.is_cancelled = true;
  asio::post(this->loop, [self = this->shared_from_this()] {
    self->Finish(asio::error::operation_aborted);
  });
}

// Arms the timer for the deadline of the exchange, or for `timeout` if that is
// earlier and applies to the current step: while connecting, or to limit the
// time until the header of the response.
void Exchange::ArmTimer(base::Duration timeout, bool is_answer_timer) {
  const base::TimePoint now = clock::Now();
  base::Duration time_left = this->deadline - now;
  const bool ends_by_silence = is_answer_timer && timeout < time_left;
  if (timeout < time_left &&
      (is_answer_timer || this->end.progress == Progress::kNotConnected))
    time_left = timeout;
  const std::uint64_t armed_generation = ++this->timer_generation;
  this->timer.expires_after(time_left);
  this->timer.async_wait([self = this->shared_from_this(), armed_generation,
                          ends_by_silence](const error_code& code) {
    if (!code)
      self->OnTimer(armed_generation, ends_by_silence);
  });
}

void Exchange::OnTimer(std::uint64_t armed_generation, bool ends_by_silence) {
  if (this->is_finished || armed_generation != this->timer_generation)
    return;
  // After a pause of this process the timer may fire before bytes that arrived
  // during the pause are read.
  if (ends_by_silence && this->HasReceivedBytes()) {
    this->ArmTimer(base::Duration::max(), false);
    return;
  }
  this->end.is_silent = ends_by_silence;
  this->has_timer_expired = true;
  this->Finish(asio::error::timed_out);
}

bool Exchange::HasReceivedBytes() const {
  error_code ignored;
  return this->connection->socket.available(ignored) > 0;
}

void Exchange::Finish(const error_code& error) {
  if (this->is_finished)
    return;
  this->is_finished = true;
  this->timer.cancel();
  this->end.error = error;
  this->end.is_malformed = IsParseError(error);
  // The kernel reports the same error for a silent connection. A deadline that
  // has passed says nothing about the connection.
  if (error == asio::error::timed_out && !this->has_timer_expired &&
      this->end.is_connection_reused &&
      this->end.progress == Progress::kMaybeSent)
    this->end.is_silent = true;
  this->ReleaseConnection(this->end.progress == Progress::kComplete);
  if (this->end.is_silent)
    InvalidateConnections(this->pool, this->address);
  ExchangeHandlers final_handlers = std::move(this->handlers);
  this->handlers = {};
  final_handlers.on_end(this->end);
}

void Exchange::ReleaseConnection(bool is_complete) {
  if (this->is_counted_in_use)
    --this->pool.address_pools[this->address].in_use;
  this->is_counted_in_use = false;
  if (!this->connection)
    return;
  const bool is_reusable = is_complete && this->parser->keep_alive() &&
                           this->connection->buffer.size() == 0;
  if (!is_reusable) {
    // The parser, the serializer and pending operations may refer to the
    // connection until their handlers have run, so the connection is not
    // destroyed here. Closing it makes the handlers run.
    error_code ignored;
    this->connection->socket.close(ignored);
    return;
  }
  ++this->connection->served_requests;
  ReturnConnection(this->pool, this->address, std::move(this->connection),
                   this->pool_generation, clock::Now());
}

}  // namespace poplarfork::upstream
