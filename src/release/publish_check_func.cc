#include "release/publish_check_func.h"

#include <string>

#include "base/error_code_type.h"
#include "base/error_func.h"
#include "base/hash_func.h"
#include "note/apply_note_func.h"
#include "note/parse_note_func.h"
#include "note/touched_items_func.h"
#include "release/install_func.h"

namespace poplarfork::release {

namespace {

constexpr std::size_t kMaxNoteIdBytes = 64;

PublishRejection Reject(std::string reason, std::string detail) {
  return PublishRejection{true, std::move(reason), std::move(detail)};
}

// Takes the note's id from the note itself or else from the request's header.
// Rejects a request without an id, with one that is too long, or with two
// different ones.
PublishRejection ResolveNoteId(const base::NoteId& header_id,
                               Publication& publication) {
  base::NoteId& id = publication.note.id;
  if (!header_id.value.empty() && !id.value.empty() && header_id != id) {
    return Reject("note_id_mismatch", "the note has the id " + id.value +
                                          " and the request header " +
                                          header_id.value);
  }
  if (id.value.empty())
    id = header_id;
  if (id.value.empty() || id.value.size() > kMaxNoteIdBytes) {
    return Reject(
        "note_id_missing",
        "an id of 1 to 64 bytes is required in the note's key id or in "
        "the header Poplarfork-Note-Id");
  }
  return PublishRejection{};
}

// Returns one of `items` that the note in `entry` changed, or an empty string.
std::string FindCommonItem(const note::ItemNames& items,
                           const proto::LogEntry& entry) {
  const auto other = note::ParseReleaseNote(entry.note_yaml(), "");
  if (!other.has_value())
    return "";
  for (const std::string& item : note::TouchedItemNames(other.value())) {
    if (items.contains(item))
      return item;
  }
  return "";
}

// Rejects a note if an entry after its base revision changed one of its items,
// or if that cannot be checked.
PublishRejection CheckBaseRevision(const InstallState& state,
                                   const note::ReleaseNote& note) {
  const std::uint64_t installed = state.configuration.revision.value;
  const std::uint64_t base = note.base_revision->value;
  if (base > installed) {
    return Reject("base_revision_unknown",
                  "the newest revision is " + std::to_string(installed));
  }
  const note::ItemNames items = note::TouchedItemNames(note);
  for (std::uint64_t number = base + 1; number <= installed; ++number) {
    const proto::LogEntry* entry = FindRecentEntry(state, {number});
    if (entry == nullptr) {
      return Reject(
          "base_revision_too_old",
          "revision " + std::to_string(number) +
              " is no longer kept in memory; read the configuration again "
              "and use its revision as the base revision");
    }
    const std::string item = FindCommonItem(items, *entry);
    if (!item.empty()) {
      return Reject("conflict", "revision " + std::to_string(number) + " (" +
                                    entry->note_id() + ") changed " + item);
    }
  }
  return PublishRejection{};
}

}  // namespace

PublishRejection ParsePublishRequest(const ReleaseState& state,
                                     Publication& publication) {
  const PublishRequest& request = publication.request;
  publication.note.id = request.note_id;
  if (!state.ready)
    return Reject("not_ready", "this daemon has no current configuration");
  if (state.publications.size() >= state.settings.max_queued_publications)
    return Reject("busy", "too many publications are queued at this daemon");
  auto note = note::ParseReleaseNote(request.yaml, "note");
  if (!note.has_value())
    return Reject("invalid_note", note.error().detail);
  publication.note = std::move(note.value());
  publication.text_hash = base::StableHash(request.yaml);
  return ResolveNoteId(request.note_id, publication);
}

PublishRejection CheckNoteApplies(const InstallState& state,
                                  const note::ReleaseNote& note) {
  if (note.base_revision) {
    PublishRejection rejection = CheckBaseRevision(state, note);
    if (rejection.rejected)
      return rejection;
  }
  const auto result = note::CheckNote(state.configuration, note);
  if (result.has_value())
    return PublishRejection{};
  const bool is_below_floor =
      result.error().code == base::make_error_code(base::ErrorCode::kRefused);
  return Reject(is_below_floor ? "below_floor" : "conflict",
                result.error().detail);
}

}  // namespace poplarfork::release
