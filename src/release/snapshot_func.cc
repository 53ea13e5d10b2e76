#include "release/snapshot_func.h"

#include <utility>

#include "note/configuration_codec_func.h"
#include "release/install_func.h"

namespace poplarfork::release {

namespace {

// Allowance for the encoded fields of a chunk other than its items.
constexpr std::uint64_t kChunkOverheadBytes = 256;
// Allowance for the encoded tag and length of one item.
constexpr std::uint64_t kItemOverheadBytes = 8;

struct SnapshotBuilder {
  std::vector<proto::SnapshotChunk> chunks;
  std::uint64_t chunk_bytes = 0;
  std::uint64_t max_chunk_bytes = 0;
};

void StartChunk(SnapshotBuilder& builder) {
  builder.chunks.emplace_back();
  builder.chunk_bytes = kChunkOverheadBytes;
}

// Returns the chunk to which `item` must be added; starts a new chunk if the
// item does not fit into the current one.
template <class Message>
proto::SnapshotChunk& ChunkWithRoomFor(SnapshotBuilder& builder,
                                       const Message& item) {
  const std::uint64_t size = item.ByteSizeLong() + kItemOverheadBytes;
  if (builder.chunk_bytes + size > builder.max_chunk_bytes)
    StartChunk(builder);
  builder.chunk_bytes += size;
  return builder.chunks.back();
}

void AddServices(SnapshotBuilder& builder,
                 const note::Configuration& configuration) {
  for (const auto& [id, service] : configuration.services) {
    proto::ServiceState item = note::EncodeService(service);
    *ChunkWithRoomFor(builder, item).mutable_part()->add_services() =
        std::move(item);
  }
}

void AddRoutes(SnapshotBuilder& builder,
               const note::Configuration& configuration) {
  for (const auto& [key, route] : configuration.routes) {
    proto::RouteState item = note::EncodeRoute(route);
    *ChunkWithRoomFor(builder, item).mutable_part()->add_routes() =
        std::move(item);
  }
  for (const auto& [key, service] : configuration.withdrawn_routes) {
    proto::RouteState item = note::EncodeWithdrawnRoute(key, service);
    *ChunkWithRoomFor(builder, item).mutable_part()->add_withdrawn_routes() =
        std::move(item);
  }
}

void AddAccounts(SnapshotBuilder& builder,
                 const note::Configuration& configuration) {
  for (const auto& [id, account] : configuration.accounts) {
    proto::AccountState item = note::EncodeAccount(account);
    *ChunkWithRoomFor(builder, item).mutable_part()->add_accounts() =
        std::move(item);
  }
}

void AddNoteIds(SnapshotBuilder& builder, const NoteIdIndex& index) {
  for (const auto& [revision, id] : index.by_revision) {
    proto::NoteIdState item;
    item.set_revision(revision.value);
    item.set_note_id(id.value);
    item.set_text_hash(index.by_id.at(id).text_hash);
    *ChunkWithRoomFor(builder, item).add_note_ids() = std::move(item);
  }
}

// Returns true if `chunk` is the next one of the snapshot that is being read.
bool IsNextChunk(const PartialSnapshot& partial,
                 const proto::SnapshotChunk& chunk) {
  if (chunk.chunk_count() == 0 || chunk.chunk() != partial.next_chunk)
    return false;
  if (partial.next_chunk == 0)
    return true;
  return chunk.revision() == partial.revision.value &&
         chunk.hash() == partial.hash &&
         chunk.chunk_count() == partial.chunk_count;
}

}  // namespace

std::vector<std::string> BuildSnapshotChunks(const InstallState& state,
                                             const ReleaseSettings& settings) {
  SnapshotBuilder builder;
  builder.max_chunk_bytes = settings.max_chunk_bytes;
  StartChunk(builder);
  AddServices(builder, state.configuration);
  AddRoutes(builder, state.configuration);
  AddAccounts(builder, state.configuration);
  AddNoteIds(builder, state.note_ids);

  std::vector<std::string> serialized;
  for (proto::SnapshotChunk& chunk : builder.chunks) {
    chunk.set_revision(state.configuration.revision.value);
    chunk.set_hash(state.configuration.hash);
    chunk.set_chunk(static_cast<std::uint32_t>(serialized.size()));
    chunk.set_chunk_count(static_cast<std::uint32_t>(builder.chunks.size()));
    serialized.push_back(chunk.SerializeAsString());
    chunk.Clear();
  }
  return serialized;
}

ChunkOutcome AddChunk(PartialSnapshot& partial,
                      const proto::SnapshotChunk& chunk,
                      const ReleaseSettings& settings) {
  if (!IsNextChunk(partial, chunk))
    return ChunkOutcome::kRefused;
  partial.revision.value = chunk.revision();
  partial.hash = chunk.hash();
  partial.chunk_count = chunk.chunk_count();
  ++partial.next_chunk;
  note::DecodeStateInto(chunk.part(), partial.install.configuration);
  for (const proto::NoteIdState& item : chunk.note_ids()) {
    IndexNoteId(partial.install.note_ids, base::NoteId{item.note_id()},
                PublishedNote{{item.revision()}, item.text_hash()}, settings);
  }
  return partial.next_chunk == partial.chunk_count ? ChunkOutcome::kComplete
                                                   : ChunkOutcome::kIncomplete;
}

bool InstallSnapshot(InstallState& state, PartialSnapshot& partial) {
  if (partial.revision <= state.configuration.revision)
    return false;
  partial.install.configuration.revision = partial.revision;
  partial.install.configuration.hash = partial.hash;
  state = std::move(partial.install);
  partial = PartialSnapshot{};
  return true;
}

}  // namespace poplarfork::release
