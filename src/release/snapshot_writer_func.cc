#include "release/snapshot_writer_func.h"

#include "release/key_func.h"
#include "release/learn_func.h"
#include "release/member_func.h"
#include "release/release_type.h"
#include "release/snapshot_func.h"
#include "release/store_traffic_func.h"

namespace poplarfork::release {

namespace {

void WriteNextChunk(Context& context) {
  SnapshotWriter& writer = context.state.writer;
  StoreCall call;
  call.kind = StoreCallKind::kCreate;
  call.key = SnapshotKey(writer.revision, writer.next_chunk);
  call.value = writer.chunks[writer.next_chunk];
  IssueStoreCall(context, StorePurpose::kWriteChunk, std::move(call));
}

void DeleteRange(Context& context,
                 StorePurpose purpose,
                 std::string first,
                 std::string end) {
  StoreCall call;
  call.kind = StoreCallKind::kDeleteRange;
  call.key = std::move(first);
  call.end_key = std::move(end);
  IssueStoreCall(context, purpose, std::move(call));
}

// Deletes the log entries and the snapshots that are more than
// `retained_revisions` older than the complete snapshot at `revision`. A delete
// that gets no reply is not retried, because the next snapshot deletes the same
// keys.
void Compact(Context& context, base::Revision revision) {
  const std::uint64_t retained = context.state.settings.retained_revisions;
  if (revision.value <= retained)
    return;
  const base::Revision oldest{revision.value - retained};
  DeleteRange(context, StorePurpose::kCompactLog, EntryKey({0}),
              EntryKey({oldest.value + 1}));
  DeleteRange(context, StorePurpose::kCompactSnapshots, SnapshotKey({0}, 0),
              SnapshotKey(oldest, 0));
}

}  // namespace

void StartSnapshotIfDue(Context& context) {
  ReleaseState& state = context.state;
  const std::uint64_t number = InstalledNumber(state);
  const bool due = number % state.settings.snapshot_interval == 0;
  if (!due || state.sync.active || !IsSnapshotWriter(state.self, state.members))
    return;
  state.writer = SnapshotWriter{};
  state.writer.active = true;
  state.writer.revision.value = number;
  state.writer.chunks = BuildSnapshot(state.install, state.settings);
  state.writer.retry_at = context.now;
}

void TickSnapshotWriter(Context& context) {
  ReleaseState& state = context.state;
  if (state.serving.until <= context.now)
    state.serving = SnapshotServing{};
  if (!state.writer.active || context.now < state.writer.retry_at)
    return;
  if (!IsCalling(state.traffic, StorePurpose::kWriteChunk))
    WriteNextChunk(context);
}

void OnChunkWritten(Context& context,
                    const StoreCall& call,
                    StoreAnswerKind kind) {
  ReleaseState& state = context.state;
  SnapshotWriter& writer = state.writer;
  // The reply may belong to a chunk of an earlier snapshot.
  const std::string expected = SnapshotKey(writer.revision, writer.next_chunk);
  if (!writer.active || call.key != expected)
    return;
  if (kind != StoreAnswerKind::kCreated && kind != StoreAnswerKind::kConflict) {
    writer.retry_at = context.now + Backoff(state.settings.first_backoff,
                                            state.settings.longest_backoff,
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
  Compact(context, revision);
}

void SendStatus(Context& context,
                const base::DaemonId& peer,
                bool entries_too_old) {
  proto::SnapshotChunk status;
  status.set_revision(InstalledNumber(context.state));
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
  SnapshotServing& serving = state.serving;
  const bool first = request.chunk() == 0;
  if (first && (serving.chunks.empty() ||
                serving.revision != state.install.configuration.revision)) {
    serving.revision = state.install.configuration.revision;
    serving.chunks = BuildSnapshot(state.install, state.settings);
  }
  const bool same = first || request.revision() == serving.revision.value;
  if (!same || request.chunk() >= serving.chunks.size())
    return;
  serving.until = context.now + state.settings.serve_timeout;
  context.actions.emplace_back(OutgoingMessage{
      peer, proto::SNAPSHOT_CHUNK, serving.chunks[request.chunk()]});
}

}  // namespace poplarfork::release
