#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/time_type.h"
#include "edge/handlers_type.h"
#include "edge/http_type.h"
#include "edge/limits_type.h"

namespace poplarfork::edge {

// State that all sessions of one server share.
struct SessionContext {
  Limits limits;
  Handlers handlers;
  // Bytes that all sessions have reserved for request bodies.
  std::uint64_t buffered_bytes = 0;
  // Set while the daemon drains. Connections are then closed after their
  // response.
  bool is_draining = false;
};

// One connection of a caller. It reads one request at a time, and reads the
// next one only after it has written the response.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(boost::asio::ip::tcp::socket socket,
          std::shared_ptr<SessionContext> context);
  ~Session();

  // Starts to read the first request.
  void Start();

  // Responds to the current request with a response whose body is completely in
  // memory.
  void Respond(HttpResponse response);

  // Starts a response whose body is sent in parts. Without a Content-Length
  // field, the body is sent with chunked transfer encoding.
  void StartStream(HttpHeader header,
                   std::function<void(bool is_written)> on_written);

  // Sends one part of the body. `data` must stay valid until `on_written` has
  // been called, with false if the part could not be written because the caller
  // is gone.
  void WritePart(std::string_view data,
                 std::function<void(bool is_written)> on_written);

  // Completes a response that was sent in parts.
  void EndStream();

  // Closes the connection at once, so that the caller detects that the response
  // is incomplete.
  void Abort();

  // Closes the connection if it is past its deadline, or if it is idle while
  // the server drains.
  void CloseIfExpired(base::TimePoint now);

  // Returns whether a request is being read or answered.
  bool IsBusy() const;

  // Returns "IP:port" of the caller.
  const std::string& CallerEndpoint() const;

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  using StreamedResponse =
      boost::beast::http::response<boost::beast::http::buffer_body>;
  using StreamSerializer =
      boost::beast::http::response_serializer<boost::beast::http::buffer_body>;

  enum class Phase {
    kIdle,
    kReadingRequest,
    kAwaitingResponse,
    kWritingResponse,
    kClosed
  };

  void WaitUntilReadable();
  void OnReadable();
  void ReadHeader();
  void OnHeader(const boost::system::error_code& error);
  void ReadBody();
  void OnBody(const boost::system::error_code& error);
  std::optional<Rejection> CheckHeader();
  void ContinueThenReadBody();
  void RespondWithRejection(const Rejection& rejection);
  void HandleReadError(const boost::system::error_code& error);
  void OnResponseWritten(const boost::system::error_code& error,
                         bool stay_open);
  void ReadNextRequest();
  void ReleaseReservedBytes();
  void Close();

  boost::asio::ip::tcp::socket socket;
  // Shared, because a session with pending operations in the event loop may
  // outlive the server.
  std::shared_ptr<SessionContext> context;
  std::string caller_endpoint;
  boost::beast::flat_buffer buffer;
  std::optional<Parser> parser;
  std::optional<HttpResponse> response;
  std::optional<StreamedResponse> streamed_response;
  std::optional<StreamSerializer> stream_serializer;
  Phase phase = Phase::kIdle;
  base::TimePoint deadline{};
  std::uint64_t reserved_bytes = 0;
  unsigned http_version = 11;
  bool keep_alive = true;
  bool is_head = false;
  bool is_waiting_readable = false;
};

}  // namespace poplarfork::edge
