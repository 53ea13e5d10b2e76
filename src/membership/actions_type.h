#pragma once

#include <string>
#include <vector>

#include <envelope.pb.h>

#include "base/ids_type.h"
#include "membership/change_type.h"

namespace poplarfork::membership {

// A message that the daemon must pass to the transport.
struct OutgoingMessage {
  base::DaemonId recipient;
  proto::MessageKind kind = proto::MESSAGE_KIND_UNSPECIFIED;
  std::string payload;
};

// A message that the transport received, with the sender's identity as the
// envelope states it.
struct IncomingMessage {
  base::DaemonId sender;
  base::Incarnation incarnation;
  base::DataCentreId data_centre;
  proto::MessageKind kind = proto::MESSAGE_KIND_UNSPECIFIED;
  std::string payload;
};

// The revision that a peer states as installed in one of its messages.
struct PeerRevision {
  base::DaemonId daemon;
  base::Revision revision;
};

// What the daemon must do after an event: send messages, log changes, and pass
// on the revisions that peers reported.
struct Actions {
  std::vector<OutgoingMessage> messages;
  std::vector<Change> changes;
  std::vector<PeerRevision> revisions;
};

}  // namespace poplarfork::membership
