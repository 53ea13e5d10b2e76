#include "release/sync_func.h"

#include <algorithm>
#include <set>
#include <utility>

#include "release/key_func.h"
#include "release/learn_func.h"
#include "release/member_func.h"
#include "release/pull_func.h"
#include "release/release_type.h"
#include "release/snapshot_func.h"
#include "release/store_traffic_func.h"

namespace poplarfork::release {

namespace {

// Number of peers that are asked for their status at the same time.
constexpr std::uint32_t kAskedPeers = 8;
// Numbers of peers and of data centres from which a starting daemon needs a
// status, unless the VM list shows fewer.
constexpr std::uint32_t kNeededPeers = 3;
constexpr std::uint32_t kNeededDataCentres = 2;
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
  state.was_ready = true;
  context.actions.emplace_back(ReadyChanged{true});
}

void ListSnapshots(Context& context) {
  StoreCall call;
  call.kind = StoreCallKind::kListKeys;
  call.key = SnapshotKey({InstalledNumber(context.state) + 1}, 0);
  call.end_key = EndOfSnapshots();
  IssueStoreCall(context, StorePurpose::kListSnapshots, std::move(call));
}

void ReadChunk(Context& context) {
  const SnapshotLoad& load = context.state.sync.store_load;
  StoreCall call;
  call.key = SnapshotKey(load.revision, load.next_chunk);
  call.end_key = SnapshotKey(load.revision, load.next_chunk + 1);
  call.limit = 1;
  IssueStoreCall(context, StorePurpose::kReadChunk, std::move(call));
}

void ReadEntries(Context& context) {
  IssueStoreCall(context, StorePurpose::kReadEntries,
                 ReadLogCall(context.state));
}

// Discards the partial snapshot and schedules the next read of the store.
void StoreFailed(Context& context) {
  ReleaseState& state = context.state;
  SyncState& sync = state.sync;
  sync.store_load = SnapshotLoad{};
  sync.store_retry_at =
      context.now + Backoff(state.settings.first_backoff,
                            state.settings.longest_backoff,
                            sync.store_failures++, context.rng);
}

// Returns true if a store call of the sync is queued or outstanding.
bool IsStoreBusy(const StoreTraffic& traffic) {
  return IsCalling(traffic, StorePurpose::kListSnapshots) ||
         IsCalling(traffic, StorePurpose::kReadChunk) ||
         IsCalling(traffic, StorePurpose::kReadEntries);
}

// Returns the revision of the newest snapshot in a list of keys, or 0 if there
// is none. That snapshot may still be in the process of being written. It is
// then found to be incomplete when it is read, and the log entries before it
// still exist, because they are deleted only after all chunks have been
// written.
base::Revision NewestSnapshot(const std::vector<StoreItem>& items) {
  base::Revision newest;
  for (const StoreItem& item : items) {
    if (const auto revision = SnapshotRevision(item.key))
      newest = std::max(newest, *revision);
  }
  return newest;
}

void OnSnapshotList(Context& context, const StoreAnswer& answer) {
  const base::Revision newest = NewestSnapshot(answer.items);
  if (newest.value <= InstalledNumber(context.state))
    return ReadEntries(context);
  context.state.sync.store_load = SnapshotLoad{};
  context.state.sync.store_load.revision = newest;
  ReadChunk(context);
}

void OnSnapshotChunk(Context& context, const StoreAnswer& answer) {
  ReleaseState& state = context.state;
  proto::SnapshotChunk chunk;
  const bool parsed = answer.kind == StoreAnswerKind::kFound &&
                      !answer.items.empty() &&
                      chunk.ParseFromString(answer.items.front().value);
  if (!parsed) {
    // The snapshot is incomplete or was deleted in the meantime. The log
    // entries may suffice without it.
    state.sync.store_load = SnapshotLoad{};
    return ReadEntries(context);
  }
  switch (LoadChunk(state.sync.store_load, chunk, state.settings)) {
    case LoadOutcome::kMore:
      return ReadChunk(context);
    case LoadOutcome::kRefused:
      return StoreFailed(context);
    case LoadOutcome::kComplete:
      break;
  }
  if (AdoptSnapshot(state.install, state.sync.store_load)) {
    context.actions.emplace_back(
        Installed{state.install.configuration.revision, {}, true});
  }
  ReadEntries(context);
}

void OnEntries(Context& context, const StoreAnswer& answer) {
  ReleaseState& state = context.state;
  if (answer.kind == StoreAnswerKind::kAbsent || answer.items.empty())
    return FinishSync(context);
  if (!LearnItems(context, answer.items, false))
    return StoreFailed(context);
  if (answer.items.size() < state.settings.entries_per_read)
    return FinishSync(context);
  ReadEntries(context);
}

void AskPeers(Context& context) {
  ReleaseState& state = context.state;
  const std::vector<Member> peers =
      ChoosePeers(state.members, kAskedPeers, state.self.id, context.rng);
  proto::SnapshotRequest request;
  request.set_status_only(true);
  for (const Member& peer : peers) {
    context.actions.emplace_back(OutgoingMessage{
        peer.id, proto::SNAPSHOT_REQUEST, request.SerializeAsString()});
  }
  state.sync.ask_peers_at = context.now + state.settings.peer_timeout;
}

bool EnoughAnswers(const ReleaseState& state) {
  const std::vector<PeerStatus>& answers = state.sync.answers;
  // A daemon that resumes holds a configuration already; the status of one peer
  // is enough to show how far behind it is.
  if (state.was_ready)
    return !answers.empty();
  std::uint32_t peers = kNeededPeers;
  std::uint32_t data_centres = kNeededDataCentres;
  if (state.vm_list) {
    peers = std::min(peers, std::max(state.vm_list->live_vms, 1U));
    data_centres =
        std::min(data_centres, std::max(state.vm_list->data_centres, 1U));
  }
  std::set<base::DataCentreId> seen;
  for (const PeerStatus& answer : answers)
    seen.insert(answer.peer.data_centre);
  return answers.size() >= peers && seen.size() >= data_centres;
}

// Drops the target revision, so that the peers are asked for it again.
void ForgetTarget(ReleaseState& state) {
  state.sync.has_target = false;
  state.sync.answers.clear();
  state.pull = PullState{};
}

const PeerStatus& HighestAnswer(const SyncState& sync) {
  return *std::ranges::max_element(
      sync.answers, {},
      [](const PeerStatus& answer) { return answer.revision; });
}

}  // namespace

void StartSync(Context& context) {
  SyncState& sync = context.state.sync;
  if (sync.active)
    return;
  sync = SyncState{};
  sync.active = true;
  sync.started = context.now;
  ListSnapshots(context);
}

void TickSync(Context& context) {
  ReleaseState& state = context.state;
  SyncState& sync = state.sync;
  if (!sync.active)
    return;
  if (!IsStoreBusy(state.traffic) && context.now >= sync.store_retry_at)
    ListSnapshots(context);
  if (sync.has_target && context.now >= sync.target_until)
    ForgetTarget(state);
  const bool ask = sync.store_failures > 0 && !sync.has_target;
  if (ask && context.now >= sync.ask_peers_at)
    AskPeers(context);
  const base::TimePoint give_up = sync.started + state.settings.resume_timeout;
  if (state.was_ready && sync.store_failures > 0 && context.now >= give_up)
    return FinishSync(context);
  EndSyncIfReached(context);
}

void OnSyncAnswer(Context& context,
                  StorePurpose purpose,
                  const StoreAnswer& answer) {
  if (!context.state.sync.active)
    return;
  if (answer.kind == StoreAnswerKind::kNoAnswer)
    return StoreFailed(context);
  if (purpose == StorePurpose::kListSnapshots)
    return OnSnapshotList(context, answer);
  if (purpose == StorePurpose::kReadChunk)
    return OnSnapshotChunk(context, answer);
  OnEntries(context, answer);
}

void OnPeerStatus(Context& context,
                  const Member& peer,
                  const proto::SnapshotChunk& status) {
  ReleaseState& state = context.state;
  SyncState& sync = state.sync;
  if (!sync.active || sync.has_target || !status.ready())
    return;
  std::erase_if(sync.answers, [&](const PeerStatus& answer) {
    return answer.peer.id == peer.id;
  });
  sync.answers.push_back(PeerStatus{peer, {status.revision()}});
  if (!EnoughAnswers(state))
    return;
  const PeerStatus highest = HighestAnswer(sync);
  sync.has_target = true;
  sync.target = highest.revision;
  sync.target_until = context.now + kTargetTimeout;
  PullFrom(context, highest.peer.id, highest.revision);
  EndSyncIfReached(context);
}

void EndSyncIfReached(Context& context) {
  const SyncState& sync = context.state.sync;
  if (!sync.active || !sync.has_target)
    return;
  if (context.state.install.configuration.revision >= sync.target)
    FinishSync(context);
}

}  // namespace poplarfork::release
