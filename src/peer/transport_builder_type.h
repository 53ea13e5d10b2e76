#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "base/ids_type.h"
#include "base/result_type.h"
#include "peer/keys_type.h"
#include "peer/transport_type.h"

namespace poplarfork::peer {

// Builds a transport that runs on the event loop `loop`, which must be run by a
// single thread.
class TransportBuilder {
 public:
  explicit TransportBuilder(boost::asio::io_context& loop);

  // Sets the address to bind, "IP:port", which is also the id of the daemon.
  // Port 0 binds a free port, which `Transport::self` then contains.
  TransportBuilder& SetAddress(std::string address);
  TransportBuilder& SetIncarnation(base::Incarnation incarnation);
  TransportBuilder& SetDataCentre(base::DataCentreId data_centre);
  TransportBuilder& SetClusterKey(ClusterKey key);
  TransportBuilder& SetCurveKeys(CurveKeys keys);
  // Limits the number of outgoing connections. At the limit, the least recently
  // used connection is closed before a new one is opened.
  TransportBuilder& SetMaxConnections(std::size_t count);
  TransportBuilder& SetMessageHandler(MessageHandler handler);
  TransportBuilder& SetDropHandler(DropHandler handler);

  // Binds the address and starts to receive. Errors: `kRefused` if the address
  // cannot be bound, `kMalformed` if an address or a key is not valid (keys
  // must be Z85). May be called only once.
  base::Result<std::shared_ptr<Transport>> Build();

 private:
  std::shared_ptr<Transport> transport;
  std::string address;
};

}  // namespace poplarfork::peer
