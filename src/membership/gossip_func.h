#pragma once

#include <membership.pb.h>

#include "base/ids_type.h"
#include "membership/membership_type.h"

namespace poplarfork::membership {

// Queues the state of `daemon`, which may be this daemon, for transmission with
// the next messages. If it is already queued, its count of transmissions starts
// again at 0.
void QueueUpdate(Membership& membership, const base::DaemonId& daemon);

// Removes the update about `daemon` from the queue.
void RemoveUpdate(Membership& membership, const base::DaemonId& daemon);

// Appends updates to a message to `recipient`, up to a total of
// `kMaxUpdatesPerMessage`: first the recipient's own state if this daemon
// lists it as suspect or dead, so that the recipient can refute that, and then
// the queued updates that were sent least often.
void AppendUpdates(Membership& membership,
                   const base::DaemonId& recipient,
                   proto::Probe& message);

}  // namespace poplarfork::membership
