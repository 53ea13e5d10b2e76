#include "release/sync_func.h"

#include <algorithm>
#include <set>
#include <utility>

#include "release/key_func.h"
#include "release/log_entry_func.h"
#include "release/member_func.h"
#include "release/pull_func.h"
#include "release/release_type.h"
#include "release/snapshot_func.h"
#include "release/store_call_queue_func.h"

namespace poplarfork::release {

namespace {

// Number of peers that are asked for their status at the same time.
constexpr std::uint32_t kQueriedPeers = 8;
// Numbers of peers and of data centres from which a starting daemon needs a
// status, unless the VM list shows fewer.
constexpr std::uint32_t kRequiredPeers = 3;
constexpr std::uint32_t kRequiredDataCentres = 2;
// Time in which the target revision must be reached before the peers are asked
// again. A full-size snapshot of 36 chunks takes less over a link with a
// latency of 1 ms.
constexpr base::Duration kTargetTimeout = std::chrono::seconds(5);

void FinishSync(Context& context) {
  ReleaseState& state = context.state;
  state.sync = SyncState{};
  state.peer_snapshot = PeerSnapshot{};
  if (state.ready)
    return;
  state.ready = true;
  state.has_been_ready = true;
  context.actions.emplace_back(ReadinessChanged{true});
}

void ListSnapshots(Context& context) {
  StoreCall call;
  call.kind = StoreCallKind::kListKeys;
  call.key = SnapshotKey({InstalledRevisionNumber(context.state) + 1}, 0);
  call.end_key = SnapshotRangeEnd();
  IssueStoreCall(context, StoreCallPurpose::kListSnapshots, std::move(call));
}

void ReadSnapshotChunk(Context& context) {
  const PartialSnapshot& partial = context.state.sync.store_snapshot;
  StoreCall call;
  call.key = SnapshotKey(partial.revision, partial.next_chunk);
  call.end_key = SnapshotKey(partial.revision, partial.next_chunk + 1);
  call.limit = 1;
  IssueStoreCall(context, StoreCallPurpose::kReadSnapshotChunk,
                 std::move(call));
}

void ReadEntries(Context& context) {
  IssueStoreCall(context, StoreCallPurpose::kReadEntries,
                 MakeReadLogCall(context.state));
}

// Discards the partial snapshot and schedules the next read of the store.
void OnStoreFailure(Context& context) {
  ReleaseState& state = context.state;
  SyncState& sync = state.sync;
  sync.store_snapshot = PartialSnapshot{};
  sync.store_retry_at =
      context.now + BackoffDelay(state.settings.initial_backoff,
                                 state.settings.max_backoff,
                                 sync.store_failures++, context.rng);
}

// Returns true if a store call of the sync is queued or outstanding.
bool HasPendingSyncCall(const StoreCallQueue& store_calls) {
  return HasPendingCall(store_calls, StoreCallPurpose::kListSnapshots) ||
         HasPendingCall(store_calls, StoreCallPurpose::kReadSnapshotChunk) ||
         HasPendingCall(store_calls, StoreCallPurpose::kReadEntries);
}

// Returns the revision of the newest snapshot in a list of keys, or 0 if there
// is none. That snapshot may still be in the process of being written. It is
// then found to be incomplete when it is read, and the log entries before it
// still exist, because they are deleted only after all chunks have been
// written.
base::Revision NewestSnapshot(const std::vector<StoreItem>& items) {
  base::Revision newest;
  for (const StoreItem& item : items) {
    if (const auto revision = ParseSnapshotRevision(item.key))
      newest = std::max(newest, *revision);
  }
  return newest;
}

void OnSnapshotList(Context& context, const StoreReply& reply) {
  const base::Revision newest = NewestSnapshot(reply.items);
  if (newest.value <= InstalledRevisionNumber(context.state))
    return ReadEntries(context);
  context.state.sync.store_snapshot = PartialSnapshot{};
  context.state.sync.store_snapshot.revision = newest;
  ReadSnapshotChunk(context);
}

void OnStoreSnapshotChunk(Context& context, const StoreReply& reply) {
  ReleaseState& state = context.state;
  proto::SnapshotChunk chunk;
  const bool parsed = reply.kind == StoreReplyKind::kFound &&
                      !reply.items.empty() &&
                      chunk.ParseFromString(reply.items.front().value);
  if (!parsed) {
    // The snapshot is incomplete or was deleted in the meantime. The log
    // entries may suffice without it.
    state.sync.store_snapshot = PartialSnapshot{};
    return ReadEntries(context);
  }
  switch (AddChunk(state.sync.store_snapshot, chunk, state.settings)) {
    case ChunkOutcome::kIncomplete:
      return ReadSnapshotChunk(context);
    case ChunkOutcome::kRefused:
      return OnStoreFailure(context);
    case ChunkOutcome::kComplete:
      break;
  }
  if (InstallSnapshot(state.install, state.sync.store_snapshot)) {
    context.actions.emplace_back(
        RevisionInstalled{state.install.configuration.revision, {}, true});
  }
  ReadEntries(context);
}

void OnEntries(Context& context, const StoreReply& reply) {
  ReleaseState& state = context.state;
  if (reply.kind == StoreReplyKind::kAbsent || reply.items.empty())
    return FinishSync(context);
  if (!InstallStoreItems(context, reply.items, false))
    return OnStoreFailure(context);
  if (reply.items.size() < state.settings.max_entries_per_read)
    return FinishSync(context);
  ReadEntries(context);
}

void RequestPeerStatuses(Context& context) {
  ReleaseState& state = context.state;
  const std::vector<Member> peers = ChooseRandomPeers(
      state.members, kQueriedPeers, state.self.id, context.rng);
  proto::SnapshotRequest request;
  request.set_status_only(true);
  for (const Member& peer : peers) {
    context.actions.emplace_back(OutgoingMessage{
        peer.id, proto::SNAPSHOT_REQUEST, request.SerializeAsString()});
  }
  state.sync.next_status_request_at = context.now + state.settings.peer_timeout;
}

bool HasEnoughPeerStatuses(const ReleaseState& state) {
  const std::vector<PeerStatus>& peer_statuses = state.sync.peer_statuses;
  // A daemon that resumes holds a configuration already; the status of one peer
  // is enough to show how far behind it is.
  if (state.has_been_ready)
    return !peer_statuses.empty();
  std::uint32_t peers = kRequiredPeers;
  std::uint32_t data_centres = kRequiredDataCentres;
  if (state.vm_list) {
    peers = std::min(peers, std::max(state.vm_list->live_vms, 1U));
    data_centres =
        std::min(data_centres, std::max(state.vm_list->data_centres, 1U));
  }
  std::set<base::DataCentreId> distinct_data_centres;
  for (const PeerStatus& peer_status : peer_statuses)
    distinct_data_centres.insert(peer_status.peer.data_centre);
  return peer_statuses.size() >= peers &&
         distinct_data_centres.size() >= data_centres;
}

// Drops the target revision, so that the peers are asked for it again.
void ResetTarget(ReleaseState& state) {
  state.sync.has_target = false;
  state.sync.peer_statuses.clear();
  state.pull = PullState{};
}

const PeerStatus& HighestPeerStatus(const SyncState& sync) {
  return *std::ranges::max_element(
      sync.peer_statuses, {},
      [](const PeerStatus& peer_status) { return peer_status.revision; });
}

}  // namespace

void StartSync(Context& context) {
  SyncState& sync = context.state.sync;
  if (sync.active)
    return;
  sync = SyncState{};
  sync.active = true;
  sync.started_at = context.now;
  ListSnapshots(context);
}

void TickSync(Context& context) {
  ReleaseState& state = context.state;
  SyncState& sync = state.sync;
  if (!sync.active)
    return;
  if (!HasPendingSyncCall(state.store_calls) &&
      context.now >= sync.store_retry_at)
    ListSnapshots(context);
  if (sync.has_target && context.now >= sync.target_deadline)
    ResetTarget(state);
  const bool should_request_statuses =
      sync.store_failures > 0 && !sync.has_target;
  if (should_request_statuses && context.now >= sync.next_status_request_at)
    RequestPeerStatuses(context);
  const base::TimePoint resume_deadline =
      sync.started_at + state.settings.resume_timeout;
  if (state.has_been_ready && sync.store_failures > 0 &&
      context.now >= resume_deadline)
    return FinishSync(context);
  FinishSyncIfTargetReached(context);
}

void OnSyncReply(Context& context,
                 StoreCallPurpose purpose,
                 const StoreReply& reply) {
  if (!context.state.sync.active)
    return;
  if (reply.kind == StoreReplyKind::kNoReply)
    return OnStoreFailure(context);
  if (purpose == StoreCallPurpose::kListSnapshots)
    return OnSnapshotList(context, reply);
  if (purpose == StoreCallPurpose::kReadSnapshotChunk)
    return OnStoreSnapshotChunk(context, reply);
  OnEntries(context, reply);
}

void OnPeerStatus(Context& context,
                  const Member& peer,
                  const proto::SnapshotChunk& status) {
  ReleaseState& state = context.state;
  SyncState& sync = state.sync;
  if (!sync.active || sync.has_target || !status.ready())
    return;
  std::erase_if(sync.peer_statuses, [&](const PeerStatus& peer_status) {
    return peer_status.peer.id == peer.id;
  });
  sync.peer_statuses.push_back(PeerStatus{peer, {status.revision()}});
  if (!HasEnoughPeerStatuses(state))
    return;
  const PeerStatus highest = HighestPeerStatus(sync);
  sync.has_target = true;
  sync.target = highest.revision;
  sync.target_deadline = context.now + kTargetTimeout;
  PullEntries(context, highest.peer.id, highest.revision);
  FinishSyncIfTargetReached(context);
}

void FinishSyncIfTargetReached(Context& context) {
  const SyncState& sync = context.state.sync;
  if (!sync.active || !sync.has_target)
    return;
  if (context.state.install.configuration.revision >= sync.target)
    FinishSync(context);
}

}  // namespace poplarfork::release
