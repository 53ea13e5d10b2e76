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
      transport.context, zmq::socket_type::router, transport.loop);
  zmq::socket_t& socket = transport.router->socket;
  SetCommonSocketOptions(socket);
  if (!transport.curve_keys.public_key.empty()) {
    socket.set(zmq::sockopt::curve_server, true);
    socket.set(zmq::sockopt::curve_secretkey, transport.curve_keys.secret_key);
  }
  socket.bind(std::string(kTcpScheme) + address);
  const std::string bound_endpoint = socket.get(zmq::sockopt::last_endpoint);
  transport.self.value = bound_endpoint.substr(kTcpScheme.size());
}

// Closes idle connections once per `kIdleConnectionCheckInterval` until the
// transport is closed.
void ScheduleIdleConnectionCheck(Transport& transport) {
  const std::weak_ptr<Transport> weak_transport = transport.weak_from_this();
  transport.idle_check_timer.expires_after(kIdleConnectionCheckInterval);
  transport.idle_check_timer.async_wait(
      [weak_transport](const boost::system::error_code& error) {
        const std::shared_ptr<Transport> locked_transport =
            weak_transport.lock();
        if (error || !locked_transport || locked_transport->is_closed)
          return;
        CloseIdleConnections(*locked_transport,
                             std::chrono::steady_clock::now());
        ScheduleIdleConnectionCheck(*locked_transport);
      });
}

}  // namespace

TransportBuilder::TransportBuilder(boost::asio::io_context& loop)
    : transport(std::make_shared<Transport>(loop)) {}

TransportBuilder& TransportBuilder::SetAddress(std::string address) {
  this->address = std::move(address);
  return *this;
}

TransportBuilder& TransportBuilder::SetIncarnation(
    base::Incarnation incarnation) {
  this->transport->incarnation = incarnation;
  return *this;
}

TransportBuilder& TransportBuilder::SetDataCentre(
    base::DataCentreId data_centre) {
  this->transport->data_centre = std::move(data_centre);
  return *this;
}

TransportBuilder& TransportBuilder::SetClusterKey(ClusterKey key) {
  this->transport->cluster_key = std::move(key);
  return *this;
}

TransportBuilder& TransportBuilder::SetCurveKeys(CurveKeys keys) {
  this->transport->curve_keys = std::move(keys);
  return *this;
}

TransportBuilder& TransportBuilder::SetMaxConnections(std::size_t count) {
  this->transport->max_connections = count;
  return *this;
}

TransportBuilder& TransportBuilder::SetMessageHandler(MessageHandler handler) {
  this->transport->on_message = std::move(handler);
  return *this;
}

TransportBuilder& TransportBuilder::SetDropHandler(DropHandler handler) {
  this->transport->on_drop = std::move(handler);
  return *this;
}

base::Result<std::shared_ptr<Transport>> TransportBuilder::Build() {
  Transport& new_transport = *this->transport;
  new_transport.large_message_budget_refilled_at =
      std::chrono::steady_clock::now();
  try {
    if (!new_transport.curve_keys.public_key.empty())
      StartAuthenticator(new_transport);
    BindRouter(new_transport, this->address);
  } catch (const zmq::error_t& error) {
    const bool is_invalid = error.num() == EINVAL;
    return base::MakeError(
        is_invalid ? base::ErrorCode::kMalformed : base::ErrorCode::kRefused,
        base::Step::kLoadSettings, this->address, error.what());
  }
  WatchSocket(new_transport, *new_transport.router, ReceiveMessages);
  ScheduleIdleConnectionCheck(new_transport);
  return std::move(this->transport);
}

}  // namespace poplarfork::peer
