#pragma once

#include "release.pb.h"
#include "release/context_type.h"
#include "release/member_type.h"
#include "release/store_reply_type.h"

namespace poplarfork::release {

// Starts to fetch the entries up to `revision` from `peer`, which has reported
// that revision as installed. Does nothing if the revision is installed; if a
// pull is in progress, only raises its target.
void PullEntries(Context& context,
                 const base::DaemonId& peer,
                 base::Revision revision);

// Requests the entries from another peer if a pull makes no progress, and reads
// them from the store after `kMaxPeerAttempts` requests. Also abandons a peer
// snapshot whose source has stopped replying.
void TickPull(Context& context);

// Handles the store's reply to a call with purpose kPull.
void OnPullReply(Context& context, const StoreReply& reply);

// Handles a LOG_ENTRY message from a peer.
void OnEntryMessage(Context& context,
                    const Member& sender,
                    const proto::EntryMessage& message);

// Answers a peer's ENTRY_REQUEST with the requested entries, or with a status
// stating that they are too old if they are no longer among the recent entries.
void ServeEntries(Context& context,
                  const base::DaemonId& peer,
                  const proto::EntryRequest& request);

// Handles a SNAPSHOT_CHUNK message from a peer, which is either a status or a
// chunk that this daemon requested.
void OnSnapshotChunkMessage(Context& context,
                            const Member& sender,
                            const proto::SnapshotChunk& chunk);

}  // namespace poplarfork::release
