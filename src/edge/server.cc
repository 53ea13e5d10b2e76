#include "edge/server.h"

#include <utility>

#include "base/error_func.h"

namespace poplarfork::edge {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

base::Error MakeListenError(const error_code& error,
                            const std::string& address) {
  return base::Error{std::error_code(error.value(), std::system_category()),
                     base::Step::kCallerRead, address, error.message()};
}

}  // namespace

Server::Server(asio::io_context& loop, Limits limits, Handlers handlers)
    : acceptor(loop),
      context(std::make_shared<SessionContext>(
          SessionContext{.limits = limits, .handlers = std::move(handlers)})) {}

base::Result<std::string> Server::Listen(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  error_code error;
  const auto ip = asio::ip::make_address(address.substr(0, colon), error);
  if (error)
    return MakeListenError(error, address);
  const auto port =
      static_cast<unsigned short>(std::stoi(address.substr(colon + 1)));
  const asio::ip::tcp::endpoint endpoint(ip, port);
  this->acceptor.open(endpoint.protocol(), error);
  if (!error)
    this->acceptor.set_option(asio::socket_base::reuse_address(true), error);
  if (!error)
    this->acceptor.bind(endpoint, error);
  if (!error)
    this->acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error)
    return MakeListenError(error, address);
  this->AcceptNext();
  const auto bound_endpoint = this->acceptor.local_endpoint();
  return bound_endpoint.address().to_string() + ":" +
         std::to_string(bound_endpoint.port());
}

void Server::AcceptNext() {
  this->acceptor.async_accept(
      [self = this->shared_from_this()](const error_code& error,
                                        asio::ip::tcp::socket socket) {
        self->OnAccepted(error, std::move(socket));
      });
}

void Server::OnAccepted(const error_code& error, asio::ip::tcp::socket socket) {
  if (error == asio::error::operation_aborted || !this->acceptor.is_open())
    return;
  if (!error && this->sessions.size() < this->context->limits.max_connections) {
    auto session = std::make_shared<Session>(std::move(socket), this->context);
    this->sessions.push_back(session);
    session->Start();
  }
  this->AcceptNext();
}

const Limits& Server::GetLimits() const {
  return this->context->limits;
}

void Server::SetLimits(const Limits& limits) {
  this->context->limits = limits;
}

void Server::SetMemoryCounter(std::shared_ptr<base::ByteCounter> counter) {
  this->context->buffered->parent = std::move(counter);
}

void Server::CloseExpiredSessions(base::TimePoint now) {
  std::erase_if(this->sessions,
                [now](const std::weak_ptr<Session>& weak_session) {
                  const auto session = weak_session.lock();
                  if (session)
                    session->CloseIfExpired(now);
                  return !session;
                });
}

void Server::CloseAfterResponses() {
  this->context->is_draining = true;
}

void Server::Stop() {
  error_code ignored;
  this->acceptor.close(ignored);
  for (const auto& weak_session : this->sessions) {
    if (const auto session = weak_session.lock())
      session->Abort();
  }
}

std::size_t Server::BusySessionCount() const {
  std::size_t count = 0;
  for (const auto& weak_session : this->sessions) {
    const auto session = weak_session.lock();
    count += session && session->IsBusy() ? 1 : 0;
  }
  return count;
}

std::size_t Server::ConnectionCount() const {
  return this->sessions.size();
}

}  // namespace poplarfork::edge
