#include "release/snapshot_func.h"

#include <utility>

#include "note/configuration_codec_func.h"
#include "release/install_func.h"

namespace poplarfork::release {

namespace {

// Allowance for the encoded fields of a chunk other than its items.
constexpr std::uint64_t kChunkOverhead = 256;
// Allowance for the encoded tag and length of one item.
constexpr std::uint64_t kItemOverhead = 8;

struct Builder {
  std::vector<proto::SnapshotChunk> chunks;
  std::uint64_t bytes = 0;
  std::uint64_t limit = 0;
};

void StartChunk(Builder& builder) {
  builder.chunks.emplace_back();
  builder.bytes = kChunkOverhead;
}

// Returns the chunk to which `item` must be added; starts a new chunk if the
// item does not fit into the current one.
template <class Message>
proto::SnapshotChunk& ChunkFor(Builder& builder, const Message& item) {
  const std::uint64_t size = item.ByteSizeLong() + kItemOverhead;
  if (builder.bytes + size > builder.limit)
    StartChunk(builder);
  builder.bytes += size;
  return builder.chunks.back();
}

void AddServices(Builder& builder, const note::Configuration& configuration) {
  for (const auto& [id, service] : configuration.services) {
    proto::ServiceState item = note::EncodeService(service);
    *ChunkFor(builder, item).mutable_part()->add_services() = std::move(item);
  }
}

void AddRoutes(Builder& builder, const note::Configuration& configuration) {
  for (const auto& [key, route] : configuration.routes) {
    proto::RouteState item = note::EncodeRoute(route);
    *ChunkFor(builder, item).mutable_part()->add_routes() = std::move(item);
  }
  for (const auto& [key, service] : configuration.withdrawn_routes) {
    proto::RouteState item = note::EncodeWithdrawnRoute(key, service);
    *ChunkFor(builder, item).mutable_part()->add_withdrawn_routes() =
        std::move(item);
  }
}

void AddAccounts(Builder& builder, const note::Configuration& configuration) {
  for (const auto& [id, account] : configuration.accounts) {
    proto::AccountState item = note::EncodeAccount(account);
    *ChunkFor(builder, item).mutable_part()->add_accounts() = std::move(item);
  }
}

void AddNoteIds(Builder& builder, const NoteIdIndex& index) {
  for (const auto& [revision, id] : index.by_revision) {
    proto::NoteIdState item;
    item.set_revision(revision.value);
    item.set_note_id(id.value);
    item.set_text_hash(index.by_id.at(id).text_hash);
    *ChunkFor(builder, item).add_note_ids() = std::move(item);
  }
}

// Returns true if `chunk` is the next one of the snapshot that is being read.
bool BelongsTo(const SnapshotLoad& load, const proto::SnapshotChunk& chunk) {
  if (chunk.chunk_count() == 0 || chunk.chunk() != load.next_chunk)
    return false;
  if (load.next_chunk == 0)
    return true;
  return chunk.revision() == load.revision.value && chunk.hash() == load.hash &&
         chunk.chunk_count() == load.chunk_count;
}

}  // namespace

std::vector<std::string> BuildSnapshot(const InstallState& state,
                                       const ReleaseSettings& settings) {
  Builder builder;
  builder.limit = settings.chunk_bytes;
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

LoadOutcome LoadChunk(SnapshotLoad& load,
                      const proto::SnapshotChunk& chunk,
                      const ReleaseSettings& settings) {
  if (!BelongsTo(load, chunk))
    return LoadOutcome::kRefused;
  load.revision.value = chunk.revision();
  load.hash = chunk.hash();
  load.chunk_count = chunk.chunk_count();
  ++load.next_chunk;
  note::DecodeInto(chunk.part(), load.install.configuration);
  for (const proto::NoteIdState& item : chunk.note_ids()) {
    RememberNoteId(load.install.note_ids, base::NoteId{item.note_id()},
                   PublishedNote{{item.revision()}, item.text_hash()},
                   settings);
  }
  return load.next_chunk == load.chunk_count ? LoadOutcome::kComplete
                                             : LoadOutcome::kMore;
}

bool AdoptSnapshot(InstallState& state, SnapshotLoad& load) {
  if (load.revision <= state.configuration.revision)
    return false;
  load.install.configuration.revision = load.revision;
  load.install.configuration.hash = load.hash;
  state = std::move(load.install);
  load = SnapshotLoad{};
  return true;
}

}  // namespace poplarfork::release
