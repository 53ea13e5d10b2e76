#pragma once

#include "release.pb.h"
#include "release/context_type.h"
#include "release/store_call_queue_type.h"
#include "release/store_reply_type.h"

namespace poplarfork::release {

// Starts to bring the daemon up to date, from the store first and also from
// peers if the store does not reply. Does nothing if a sync is in progress.
void StartSync(Context& context);

// Retries the store and asks peers for their status when the times for that
// have come, and ends the sync when its target is reached.
void TickSync(Context& context);

// Handles the store's reply to a call with purpose kListSnapshots,
// kReadSnapshotChunk or kReadEntries.
void OnSyncReply(Context& context,
                 StoreCallPurpose purpose,
                 const StoreReply& reply);

// Records the status of a peer if the sync is waiting for statuses. Once enough
// peers have sent one, the highest revision among them becomes the target.
void OnPeerStatus(Context& context,
                  const Member& peer,
                  const proto::SnapshotChunk& status);

// Ends the sync if it has a target revision from peers and that revision is
// installed.
void FinishSyncIfTargetReached(Context& context);

}  // namespace poplarfork::release
