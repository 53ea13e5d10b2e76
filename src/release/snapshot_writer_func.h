#pragma once

#include <cstdint>

#include "release.pb.h"
#include "release/context_type.h"
#include "release/store_call_type.h"
#include "release/store_reply_type.h"

namespace poplarfork::release {

// Builds a snapshot and starts to write it to the store if the installed
// revision is a multiple of the snapshot interval and this daemon is the
// snapshot writer.
void StartSnapshotIfDue(Context& context);

// Writes the next chunk when its retry time has come, and drops the snapshot
// that is served to peers when it has expired.
void TickSnapshotWriter(Context& context);

// Handles the store's reply to the write of a chunk. Once all chunks are in the
// store, old entries and snapshots are deleted.
void OnChunkWritten(Context& context,
                    const StoreCall& call,
                    StoreReplyKind kind);

// Answers a peer's SNAPSHOT_REQUEST with a chunk or, if only the status is
// requested, with a status.
void ServeSnapshot(Context& context,
                   const base::DaemonId& peer,
                   const proto::SnapshotRequest& request);

// Sends a peer a status: the installed revision, whether this daemon is ready,
// and whether the entries that the peer requested are too old.
void SendStatus(Context& context,
                const base::DaemonId& peer,
                bool entries_too_old);

}  // namespace poplarfork::release
