#include "release/snapshot_writer_func.h"

#include "release/key_func.h"
#include "release/log_entry_func.h"
#include "release/member_func.h"
#include "release/release_type.h"
#include "release/snapshot_func.h"
#include "release/store_call_queue_func.h"

namespace poplarfork::release {

namespace {

void WriteNextChunk(Context& context) {
  SnapshotWriter& writer = context.state.snapshot_writer;
  StoreCall call;
  call.kind = StoreCallKind::kCreate;
  call.key = SnapshotKey(writer.revision, writer.next_chunk);
  call.value = writer.chunks[writer.next_chunk];
  IssueStoreCall(context, StoreCallPurpose::kWriteSnapshotChunk,
                 std::move(call));
}

void DeleteRange(Context& context,
                 StoreCallPurpose purpose,
                 std::string first,
                 std::string end) {
  StoreCall call;
  call.kind = StoreCallKind::kDeleteRange;
  call.key = std::move(first);
  call.end_key = std::move(end);
  IssueStoreCall(context, purpose, std::move(call));
}

// Deletes what the complete snapshot at `revision` makes superfluous: the log
// entries that are at least `retained_revisions` older and the snapshots that
// are more than `retained_revisions` older. A delete that gets no reply is not
// retried, because the deletes after the next snapshot cover the same keys.
void CompactStore(Context& context, base::Revision revision) {
  const std::uint64_t retained = context.state.settings.retained_revisions;
  if (revision.value <= retained)
    return;
  const base::Revision oldest{revision.value - retained};
  DeleteRange(context, StoreCallPurpose::kCompactLog, EntryKey({0}),
              EntryKey({oldest.value + 1}));
  DeleteRange(context, StoreCallPurpose::kCompactSnapshots, SnapshotKey({0}, 0),
              SnapshotKey(oldest, 0));
}

}  // namespace

void StartSnapshotIfDue(Context& context) {
  ReleaseState& state = context.state;
  const std::uint64_t number = InstalledRevisionNumber(state);
  const bool is_due = number % state.settings.snapshot_interval == 0;
  if (!is_due || state.sync.active ||
      !IsSnapshotWriter(state.self, state.members))
    return;
  state.snapshot_writer = SnapshotWriter{};
  state.snapshot_writer.active = true;
  state.snapshot_writer.revision.value = number;
  state.snapshot_writer.chunks =
      BuildSnapshotChunks(state.install, state.settings);
  state.snapshot_writer.retry_at = context.now;
}

void TickSnapshotWriter(Context& context) {
  ReleaseState& state = context.state;
  if (state.served_snapshot.expires_at <= context.now)
    state.served_snapshot = ServedSnapshot{};
  if (!state.snapshot_writer.active ||
      context.now < state.snapshot_writer.retry_at)
    return;
  if (!HasPendingCall(state.store_calls, StoreCallPurpose::kWriteSnapshotChunk))
    WriteNextChunk(context);
}

void OnChunkWritten(Context& context,
                    const StoreCall& call,
                    StoreReplyKind kind) {
  ReleaseState& state = context.state;
  SnapshotWriter& writer = state.snapshot_writer;
  // The reply may belong to a chunk of an earlier snapshot.
  const std::string expected = SnapshotKey(writer.revision, writer.next_chunk);
  if (!writer.active || call.key != expected)
    return;
  if (kind != StoreReplyKind::kCreated && kind != StoreReplyKind::kConflict) {
    writer.retry_at =
        context.now + BackoffDelay(state.settings.initial_backoff,
                                   state.settings.max_backoff,
                                   writer.failures++, context.rng);
    return;
  }
  // A conflict means that the chunk is already in the store, because every
  // daemon builds the same bytes for the same revision.
  writer.failures = 0;
  ++writer.next_chunk;
  if (writer.next_chunk < writer.chunks.size())
    return WriteNextChunk(context);
  const base::Revision revision = writer.revision;
  writer = SnapshotWriter{};
  CompactStore(context, revision);
}

void SendStatus(Context& context,
                const base::DaemonId& peer,
                bool entries_too_old) {
  proto::SnapshotChunk status;
  status.set_revision(InstalledRevisionNumber(context.state));
  status.set_ready(context.state.ready);
  status.set_entries_too_old(entries_too_old);
  context.actions.emplace_back(
      OutgoingMessage{peer, proto::SNAPSHOT_CHUNK, status.SerializeAsString()});
}

void ServeSnapshot(Context& context,
                   const base::DaemonId& peer,
                   const proto::SnapshotRequest& request) {
  ReleaseState& state = context.state;
  if (request.status_only())
    return SendStatus(context, peer, false);
  if (!state.ready)
    return;
  ServedSnapshot& served_snapshot = state.served_snapshot;
  const bool is_first_chunk = request.chunk() == 0;
  if (is_first_chunk &&
      (served_snapshot.chunks.empty() ||
       served_snapshot.revision != state.install.configuration.revision)) {
    served_snapshot.revision = state.install.configuration.revision;
    served_snapshot.chunks = BuildSnapshotChunks(state.install, state.settings);
  }
  const bool is_same_snapshot =
      is_first_chunk || request.revision() == served_snapshot.revision.value;
  if (!is_same_snapshot || request.chunk() >= served_snapshot.chunks.size())
    return;
  served_snapshot.expires_at = context.now + state.settings.served_snapshot_ttl;
  context.actions.emplace_back(OutgoingMessage{
      peer, proto::SNAPSHOT_CHUNK, served_snapshot.chunks[request.chunk()]});
}

}  // namespace poplarfork::release
