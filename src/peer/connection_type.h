#pragma once

#include <chrono>
#include <deque>
#include <memory>
#include <string>

#include <envelope.pb.h>

#include "base/ids_type.h"
#include "peer/watched_socket_type.h"

namespace poplarfork::peer {

// An encoded envelope with its authentication tag. The tag is empty without a
// cluster key.
struct Frames {
  proto::MessageKind kind = proto::MESSAGE_KIND_UNSPECIFIED;
  std::string envelope;
  std::string tag;
};

// A message that waits until the handshake of its connection has completed.
struct PendingFrames {
  std::chrono::steady_clock::time_point queued_at;
  Frames frames;
};

// The outgoing connection to one daemon. Its DEALER socket only sends; messages
// from that daemon arrive on the ROUTER socket.
struct Connection {
  base::DaemonId peer;
  std::unique_ptr<WatchedSocket> dealer;
  std::deque<PendingFrames> pending;
  std::chrono::steady_clock::time_point last_used_at;
};

}  // namespace poplarfork::peer
