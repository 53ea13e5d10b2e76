#include "release/pull_func.h"

#include <algorithm>
#include <vector>

#include "note/chain_hash_func.h"
#include "release/install_func.h"
#include "release/log_entry_func.h"
#include "release/member_func.h"
#include "release/release_type.h"
#include "release/snapshot_func.h"
#include "release/snapshot_writer_func.h"
#include "release/store_call_queue_func.h"
#include "release/sync_func.h"

namespace poplarfork::release {

namespace {

// Limits on the entries that are sent for one ENTRY_REQUEST.
constexpr std::uint64_t kMaxEntriesPerReply = 32;
constexpr std::uint64_t kMaxBytesPerReply = 512UL * 1024;
// Requests to peers without progress after which the entries are read from the
// store.
constexpr std::uint32_t kMaxPeerAttempts = 3;

void RequestEntries(Context& context, const base::DaemonId& peer) {
  ReleaseState& state = context.state;
  proto::EntryRequest request;
  request.set_first_revision(InstalledRevisionNumber(state) + 1);
  context.actions.emplace_back(
      OutgoingMessage{peer, proto::ENTRY_REQUEST, request.SerializeAsString()});
  ++state.pull.attempts;
  state.pull.batch_end.value =
      InstalledRevisionNumber(state) + kMaxEntriesPerReply;
  state.pull.retry_at = context.now + state.settings.peer_timeout;
}

void SendAck(Context& context,
             const base::DaemonId& peer,
             const proto::LogEntry& entry) {
  proto::EntryAck ack;
  ack.set_revision(entry.revision());
  ack.set_hash(note::ChainHash(entry));
  context.actions.emplace_back(
      OutgoingMessage{peer, proto::LOG_ENTRY_ACK, ack.SerializeAsString()});
}

// Reads missing entries from the store unless such a read is already pending.
void ReadEntriesFromStore(Context& context) {
  ReleaseState& state = context.state;
  if (HasPendingCall(state.store_calls, StoreCallPurpose::kPull))
    return;
  IssueStoreCall(context, StoreCallPurpose::kPull, MakeReadLogCall(state));
  state.pull.retry_at = context.now + 2 * state.settings.store_timeout;
}

void RequestChunk(Context& context) {
  ReleaseState& state = context.state;
  const PeerSnapshot& snapshot = state.peer_snapshot;
  proto::SnapshotRequest request;
  request.set_revision(snapshot.partial.revision.value);
  request.set_chunk(snapshot.partial.next_chunk);
  context.actions.emplace_back(OutgoingMessage{
      snapshot.source, proto::SNAPSHOT_REQUEST, request.SerializeAsString()});
  state.peer_snapshot.retry_at = context.now + state.settings.peer_timeout;
}

void StartPeerSnapshot(Context& context, const base::DaemonId& source) {
  PeerSnapshot& snapshot = context.state.peer_snapshot;
  snapshot = PeerSnapshot{};
  snapshot.active = true;
  snapshot.source = source;
  RequestChunk(context);
}

void OnPeerSnapshotChunk(Context& context, const proto::SnapshotChunk& chunk) {
  ReleaseState& state = context.state;
  PeerSnapshot& snapshot = state.peer_snapshot;
  switch (AddChunk(snapshot.partial, chunk, state.settings)) {
    case ChunkOutcome::kIncomplete:
      return RequestChunk(context);
    case ChunkOutcome::kRefused:
      snapshot = PeerSnapshot{};
      return;
    case ChunkOutcome::kComplete:
      break;
  }
  if (InstallSnapshot(state.install, snapshot.partial)) {
    context.actions.emplace_back(
        RevisionInstalled{state.install.configuration.revision, {}, true});
  }
  snapshot = PeerSnapshot{};
  FinishSyncIfTargetReached(context);
}

bool HasReachedTarget(const ReleaseState& state) {
  return state.install.configuration.revision >= state.pull.target;
}

// Updates the pull after a message from `peer`. `previous_number` is the
// revision that was installed before the message. A pull that made progress
// continues with the same peer.
void ContinuePull(Context& context,
                  const base::DaemonId& peer,
                  std::uint64_t previous_number) {
  ReleaseState& state = context.state;
  if (!state.pull.active || HasReachedTarget(state)) {
    state.pull.active = false;
    return;
  }
  const std::uint64_t installed = InstalledRevisionNumber(state);
  if (installed == previous_number)
    return;
  state.pull.attempts = 0;
  state.pull.retry_at = context.now + state.settings.peer_timeout;
  if (installed >= state.pull.batch_end.value)
    RequestEntries(context, peer);
}

}  // namespace

void PullEntries(Context& context,
                 const base::DaemonId& peer,
                 base::Revision revision) {
  ReleaseState& state = context.state;
  if (revision <= state.install.configuration.revision)
    return;
  state.pull.target = std::max(state.pull.target, revision);
  if (state.pull.active)
    return;
  state.pull.active = true;
  state.pull.attempts = 0;
  RequestEntries(context, peer);
}

void TickPull(Context& context) {
  ReleaseState& state = context.state;
  if (state.peer_snapshot.active &&
      context.now >= state.peer_snapshot.retry_at) {
    state.peer_snapshot = PeerSnapshot{};
  }
  PullState& pull = state.pull;
  if (pull.active && HasReachedTarget(state))
    pull = PullState{};
  const bool is_waiting =
      state.peer_snapshot.active || context.now < pull.retry_at;
  if (!pull.active || is_waiting)
    return;
  const std::vector<Member> peers =
      ChooseRandomPeers(state.members, 1, state.self.id, context.rng);
  if (pull.attempts < kMaxPeerAttempts && !peers.empty())
    return RequestEntries(context, peers.front().id);
  ReadEntriesFromStore(context);
}

void OnPullReply(Context& context, const StoreReply& reply) {
  ReleaseState& state = context.state;
  if (reply.kind == StoreReplyKind::kNoReply) {
    state.pull.attempts = 0;
    state.pull.retry_at = context.now + state.settings.peer_timeout;
    return;
  }
  if (reply.kind == StoreReplyKind::kFound &&
      !InstallStoreItems(context, reply.items, true)) {
    state.pull = PullState{};
    return StartSync(context);
  }
  // If the store has no further entries, the revision that a peer reported does
  // not exist, and the pull ends.
  if (reply.kind == StoreReplyKind::kAbsent || HasReachedTarget(state))
    state.pull = PullState{};
  else
    ReadEntriesFromStore(context);
}

void OnEntryMessage(Context& context,
                    const Member& sender,
                    const proto::EntryMessage& message) {
  ReleaseState& state = context.state;
  const proto::LogEntry& entry = message.entry();
  const std::uint64_t previous_number = InstalledRevisionNumber(state);
  const bool forward = !state.sync.active;
  const InstallOutcome outcome =
      InstallAndForwardEntry(context, entry, EntrySource{sender.id, forward});
  const bool is_installed =
      outcome != InstallOutcome::kGap && outcome != InstallOutcome::kFork;
  if (is_installed && message.want_ack())
    SendAck(context, sender.id, entry);
  if (outcome == InstallOutcome::kGap)
    PullEntries(context, sender.id, {entry.revision()});
  ContinuePull(context, sender.id, previous_number);
  FinishSyncIfTargetReached(context);
}

void ServeEntries(Context& context,
                  const base::DaemonId& peer,
                  const proto::EntryRequest& request) {
  ReleaseState& state = context.state;
  const std::uint64_t first = request.first_revision();
  if (!state.ready || first > InstalledRevisionNumber(state))
    return;
  if (FindRecentEntry(state.install, {first}) == nullptr)
    return SendStatus(context, peer, true);
  std::uint64_t bytes = 0;
  for (std::uint64_t number = first; number < first + kMaxEntriesPerReply;
       ++number) {
    const proto::LogEntry* entry = FindRecentEntry(state.install, {number});
    if (entry == nullptr || bytes > kMaxBytesPerReply)
      return;
    bytes += entry->ByteSizeLong();
    SendEntry(context, peer, *entry, false);
  }
}

void OnSnapshotChunkMessage(Context& context,
                            const Member& sender,
                            const proto::SnapshotChunk& chunk) {
  ReleaseState& state = context.state;
  const bool is_status = chunk.chunk_count() == 0;
  if (!is_status) {
    const PeerSnapshot& snapshot = state.peer_snapshot;
    if (snapshot.active && snapshot.source == sender.id)
      OnPeerSnapshotChunk(context, chunk);
    return;
  }
  const bool is_behind = chunk.revision() > InstalledRevisionNumber(state);
  if (chunk.entries_too_old() && is_behind && !state.peer_snapshot.active)
    return StartPeerSnapshot(context, sender.id);
  OnPeerStatus(context, sender, chunk);
}

}  // namespace poplarfork::release
