#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "base/time_type.h"
#include "upstream/exchange_handlers_type.h"
#include "upstream/http_type.h"
#include "upstream/pool_type.h"

namespace poplarfork::upstream {

// Whether an exchange may use an idle connection from the pool.
enum class ConnectionReuse {
  // Uses an idle connection if there is one.
  kAllowed,
  // Always opens a new connection. Requests that are not repeatable need this:
  // if the upstream closes a reused connection, the close may be that of an
  // idle connection, or the upstream may have run the request before it.
  kForbidden,
};

// Sends one request to one upstream over one connection, exactly once; it never
// sends the request again by itself. All handlers are called on the event loop.
// Only on_sending may be called inside Start(), and none is called inside
// Resume() or Cancel().
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  // `pool` must outlive the exchange.
  Exchange(boost::asio::io_context& loop,
           Pool& pool,
           ExchangeHandlers handlers);

  // Limits the time from the sending of the request to the header of the
  // response; the connection counts as silent after that. Called before
  // Start().
  void LimitAnswerTime(base::Duration limit);

  // Sends `request` to `address` ("IP:port"). If the exchange has not ended
  // after `timeout`, it ends with the error `timed_out`, whatever its progress.
  void Start(std::string address,
             std::shared_ptr<const HttpRequest> request,
             ConnectionReuse reuse,
             base::Duration timeout);

  // Continues to read after the header or a part of the body has been
  // processed.
  void Resume();

  // Ends the exchange and closes its connection, which tells the upstream that
  // the response is no longer needed. on_end reports the exchange as cancelled.
  void Cancel();

  // Returns whether the connection served another request before this one.
  bool IsConnectionReused() const;

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;
  using Serializer =
      boost::beast::http::request_serializer<boost::beast::http::string_body>;

  void Connect();
  void Send();
  void ReadHeader();
  void ReadBody();
  void OnConnected(const boost::system::error_code& error);
  void OnSent(const boost::system::error_code& error);
  void OnHeader(const boost::system::error_code& error);
  void OnInterimHeader(unsigned status);
  void RejectStatus(unsigned status);
  void OnBody(const boost::system::error_code& error);
  void ArmTimer(base::Duration timeout, bool is_answer_timer);
  void OnTimer(std::uint64_t armed_generation, bool ends_by_silence);
  bool HasReceivedBytes() const;
  void Finish(const boost::system::error_code& error);
  void ReleaseConnection(bool is_complete);

  static constexpr std::size_t kBodyPartBytes = 64 * 1024;

  Pool& pool;
  ExchangeHandlers handlers;
  boost::asio::io_context& loop;
  boost::asio::steady_timer timer;
  std::string address;
  std::shared_ptr<const HttpRequest> request;
  std::unique_ptr<Serializer> serializer;
  std::optional<Parser> parser;
  ConnectionPtr connection;
  std::unique_ptr<std::array<char, kBodyPartBytes>> part_buffer;
  base::TimePoint deadline{};
  std::optional<base::Duration> answer_timeout;
  std::uint64_t pool_generation = 0;
  std::uint64_t timer_generation = 0;
  ExchangeEnd end;
  unsigned interim_responses = 0;
  bool is_counted_in_use = false;
  // The timer has ended the exchange, and not the kernel.
  bool has_timer_expired = false;
  bool is_finished = false;
};

}  // namespace poplarfork::upstream
