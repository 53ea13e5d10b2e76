#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/byte_charge.h"
#include "base/time_type.h"
#include "edge/exchange_state_type.h"
#include "edge/http_type.h"
#include "edge/pipeline_type.h"
#include "edge/session_context_type.h"

namespace poplarfork::edge {

// One connection of a caller. It reads requests ahead within its limits, passes
// them on as exchanges, and writes the responses in the order of the requests.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(boost::asio::ip::tcp::socket socket,
          std::shared_ptr<SessionContext> context);

  // Starts to read the first request.
  void Start();

  // These functions are called through the handle of an exchange and are
  // described there.
  void Respond(ExchangeNumber number, HttpResponse response);
  void StartStream(ExchangeNumber number,
                   HttpHeader header,
                   std::function<void(bool is_written)> on_written);
  void WritePart(ExchangeNumber number,
                 std::string_view data,
                 std::function<void(bool is_written)> on_written);
  void EndStream(ExchangeNumber number);
  void AbortExchange(ExchangeNumber number);

  // Closes the connection at once without notice to the handlers.
  void Abort();

  // Closes the connection if it is past its deadline, or if it is idle while
  // the server drains. Detects that the caller has closed a connection that is
  // not read at present.
  void CloseIfExpired(base::TimePoint now);

  // Returns whether a request is being read or answered.
  bool IsBusy() const;

  // Returns "IP:port" of the caller.
  const std::string& CallerEndpoint() const;

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  using StatePtr = std::shared_ptr<ExchangeState>;

  enum class ReadPhase {
    // No request is being read.
    kNone,
    kReading,
    // The header of a request has been read, and its body waits until the
    // exchanges before it are over.
    kBodyHeld,
    // Nothing is read any more.
    kEnded
  };

  // Starts the requests, writes the responses and reads the next request as far
  // as possible.
  void Advance();

  // Reading: session_reading.cc.
  void ContinueReading();
  void WaitUntilReadable();
  void OnReadable();
  void ReadHeader();
  void OnHeader(const boost::system::error_code& error);
  std::optional<Rejection> CheckHeader() const;
  void ReadBodyIfAllowed();
  const char* FindFullBuffer(std::uint64_t body_bytes) const;
  void ContinueThenReadBody();
  void ReadBody();
  void OnBody(const boost::system::error_code& error);
  void OnReadGivenUp(const boost::system::error_code& error);
  void HandleReadError(const boost::system::error_code& error);
  void Reject(const Rejection& rejection);
  void OnReadTimeout();
  void StopReading();
  void OnCallerClosed();

  // Requests and responses: session.cc.
  void StartRequests();
  void StartRequest(PipelineEntry& entry);
  void WriteResponse();
  void WriteWhole(const StatePtr& state);
  void WriteStreamHeader(const StatePtr& state);
  void OnResponseWritten(const boost::system::error_code& error,
                         bool stay_open);
  StatePtr FindState(ExchangeNumber number) const;
  StatePtr FindStreamBeingWritten(ExchangeNumber number) const;

  // The end of exchanges and of the connection: session_end.cc.
  void Drop(const std::vector<PipelineEntry>& entries);
  std::shared_ptr<Exchange> GetHandle(ExchangeNumber number,
                                      const ExchangeState& state);
  void CloseAndDrop();
  bool IsNew() const;
  bool HasArrivedRequest() const;
  void CloseAfterResponse();
  void DiscardInput();
  void CloseSocket();

  boost::asio::ip::tcp::socket socket;
  // Shared, because a session with pending operations in the event loop may
  // outlive the server.
  std::shared_ptr<SessionContext> context;
  std::string caller_endpoint;

  boost::beast::flat_buffer buffer;
  std::optional<Parser> parser;
  ReadPhase read_phase = ReadPhase::kNone;
  base::TimePoint read_deadline = base::TimePoint::max();
  base::ByteCharge request_charge;
  base::ByteCharge request_copy_charge;
  bool is_waiting_readable = false;

  Pipeline pipeline;
  std::map<ExchangeNumber, StatePtr> states;
  std::uint64_t next_exchange_number = 1;
  base::TimePoint write_deadline = base::TimePoint::max();

  std::array<char, 4096> discarded_input{};
  // The last response has been written, and input is discarded until the caller
  // closes the connection.
  bool is_discarding = false;
  bool is_closed = false;
  bool is_advancing = false;
  bool must_advance_again = false;
};

}  // namespace poplarfork::edge
