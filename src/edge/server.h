#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "base/byte_counter_type.h"
#include "base/result_type.h"
#include "base/time_type.h"
#include "edge/session.h"

namespace poplarfork::edge {

// Accepts connections of callers on one address.
class Server : public std::enable_shared_from_this<Server> {
 public:
  Server(boost::asio::io_context& loop, Limits limits, Handlers handlers);

  // Listens on `address` ("IP:port"; port 0 selects a free port). Returns the
  // address in use, or the error of the operating system.
  base::Result<std::string> Listen(const std::string& address);

  // Returns or replaces the limits. New limits also apply to open connections,
  // from their next read or write on.
  const Limits& GetLimits() const;
  void SetLimits(const Limits& limits);

  // Counts the bytes that are buffered for callers in `counter` too. They are
  // then subject to the memory budget of the limits. Called before Listen().
  void SetMemoryCounter(std::shared_ptr<base::ByteCounter> counter);

  // Closes the sessions that are past their deadlines. Called on every tick.
  void CloseExpiredSessions(base::TimePoint now);

  // Closes each connection after its current response, and idle connections on
  // the next tick. New connections are still accepted and served until Stop().
  void CloseAfterResponses();

  // Stops accepting and closes all connections.
  void Stop();

  // Returns the number of open connections of callers.
  std::size_t ConnectionCount() const;

  // Returns the number of connections with a request or a response in progress.
  std::size_t BusySessionCount() const;

 private:
  void AcceptNext();
  void OnAccepted(const boost::system::error_code& error,
                  boost::asio::ip::tcp::socket socket);

  boost::asio::ip::tcp::acceptor acceptor;
  std::shared_ptr<SessionContext> context;
  std::vector<std::weak_ptr<Session>> sessions;
};

}  // namespace poplarfork::edge
