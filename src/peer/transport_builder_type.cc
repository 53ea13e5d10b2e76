#include "peer/transport_builder_type.h"

#include <utility>

#include <boost/system/error_code.hpp>

#include "base/error_func.h"
#include "peer/authenticator_func.h"
#include "peer/connection_func.h"
#include "peer/receive_func.h"
#include "peer/watch_func.h"

namespace poplarfork::peer {

namespace {

constexpr std::string_view kTcpScheme = "tcp://";

void BindRouter(Transport& transport, const std::string& address) {
  transport.router = std::make_unique<WatchedSocket>(
      transport.context, zmq::socket_type::router, transport.io);
  zmq::socket_t& socket = transport.router->socket;
  SetCommonOptions(socket);
  if (!transport.curve_keys.public_key.empty()) {
    socket.set(zmq::sockopt::curve_server, true);
    socket.set(zmq::sockopt::curve_secretkey, transport.curve_keys.secret_key);
  }
  socket.bind(std::string(kTcpScheme) + address);
  const std::string bound = socket.get(zmq::sockopt::last_endpoint);
  transport.self.value = bound.substr(kTcpScheme.size());
}

// Closes idle connections once per `kIdleConnectionCheckInterval` until the
// transport is closed.
void ScheduleIdleCheck(Transport& transport) {
  const std::weak_ptr<Transport> weak = transport.weak_from_this();
  transport.timer.expires_after(kIdleCheckInterval);
  transport.timer.async_wait([weak](const boost::system::error_code& error) {
    const std::shared_ptr<Transport> owner = weak.lock();
    if (error || !owner || owner->is_closed)
      return;
    CloseIdleConnections(*owner, std::chrono::steady_clock::now());
    ScheduleIdleCheck(*owner);
  });
}

}  // namespace

TransportBuilder::TransportBuilder(boost::asio::io_context& io)
    : transport(std::make_shared<Transport>(io)) {}

TransportBuilder& TransportBuilder::Address(std::string value) {
  this->address = std::move(value);
  return *this;
}

TransportBuilder& TransportBuilder::Incarnation(base::Incarnation incarnation) {
  this->transport->incarnation = incarnation;
  return *this;
}

TransportBuilder& TransportBuilder::DataCentre(base::DataCentreId data_centre) {
  this->transport->data_centre = std::move(data_centre);
  return *this;
}

TransportBuilder& TransportBuilder::Key(ClusterKey key) {
  this->transport->cluster_key = std::move(key);
  return *this;
}

TransportBuilder& TransportBuilder::Curve(CurveKeys keys) {
  this->transport->curve_keys = std::move(keys);
  return *this;
}

TransportBuilder& TransportBuilder::MaxConnections(std::size_t count) {
  this->transport->max_connections = count;
  return *this;
}

TransportBuilder& TransportBuilder::OnMessage(MessageHandler handler) {
  this->transport->on_message = std::move(handler);
  return *this;
}

TransportBuilder& TransportBuilder::OnDrop(DropHandler handler) {
  this->transport->on_drop = std::move(handler);
  return *this;
}

base::Result<std::shared_ptr<Transport>> TransportBuilder::Build() {
  Transport& built = *this->transport;
  built.large_budget_at = std::chrono::steady_clock::now();
  try {
    if (!built.curve_keys.public_key.empty())
      StartAuthenticator(built);
    BindRouter(built, this->address);
  } catch (const zmq::error_t& error) {
    const bool is_invalid = error.num() == EINVAL;
    return base::MakeError(
        is_invalid ? base::ErrorCode::kMalformed : base::ErrorCode::kRefused,
        base::Step::kLoadSettings, this->address, error.what());
  }
  Watch(built, *built.router, ReceiveMessages);
  ScheduleIdleCheck(built);
  return std::move(this->transport);
}

}  // namespace poplarfork::peer
