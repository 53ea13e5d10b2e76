#pragma once

#include <string>

#include "envelope.pb.h"
#include "release/member_type.h"

namespace poplarfork::release {

// Action: send a message to one peer.
struct OutgoingMessage {
  base::DaemonId peer;
  proto::MessageKind kind = proto::MESSAGE_KIND_UNSPECIFIED;
  std::string payload;
};

// Event: a peer sent a message of kind LOG_ENTRY, LOG_ENTRY_ACK, ENTRY_REQUEST,
// SNAPSHOT_REQUEST or SNAPSHOT_CHUNK.
struct IncomingMessage {
  Member sender;
  proto::MessageKind kind = proto::MESSAGE_KIND_UNSPECIFIED;
  std::string payload;
};

}  // namespace poplarfork::release
