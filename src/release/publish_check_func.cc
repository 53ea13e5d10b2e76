#include "release/publish_check_func.h"

#include <string>

#include "base/error_code_type.h"
#include "base/error_func.h"
#include "base/hash_func.h"
#include "note/apply_note_func.h"
#include "note/parse_note_func.h"
#include "note/touched_func.h"
#include "release/install_func.h"

namespace poplarfork::release {

namespace {

constexpr std::size_t kMaxNoteIdBytes = 64;

Refusal Refuse(std::string reason, std::string detail) {
  return Refusal{true, std::move(reason), std::move(detail)};
}

// Takes the note's id from the note itself or else from the request's header.
// Rejects a request without an id, with one that is too long, or with two
// different ones.
Refusal CheckNoteId(const base::NoteId& header, Publication& publication) {
  base::NoteId& id = publication.note.id;
  if (!header.value.empty() && !id.value.empty() && header != id) {
    return Refuse("note_id_mismatch", "the note has the id " + id.value +
                                          " and the request header " +
                                          header.value);
  }
  if (id.value.empty())
    id = header;
  if (id.value.empty() || id.value.size() > kMaxNoteIdBytes) {
    return Refuse(
        "note_id_missing",
        "an id of 1 to 64 bytes is required in the note's key id or in "
        "the header Poplarfork-Note-Id");
  }
  return Refusal{};
}

// Returns one of `items` that the note in `entry` changed, or an empty string.
std::string CommonItem(const note::NoteItems& items,
                       const proto::LogEntry& entry) {
  const auto other = note::ParseReleaseNote(entry.note_yaml(), "");
  if (!other.has_value())
    return "";
  for (const std::string& item : note::TouchedItems(other.value())) {
    if (items.contains(item))
      return item;
  }
  return "";
}

// Rejects a note if an entry after its base revision changed one of its items,
// or if that cannot be checked.
Refusal CheckBaseRevision(const InstallState& state,
                          const note::ReleaseNote& note) {
  const std::uint64_t installed = state.configuration.revision.value;
  const std::uint64_t base = note.base_revision->value;
  if (base > installed) {
    return Refuse("base_revision_unknown",
                  "the newest revision is " + std::to_string(installed));
  }
  const note::NoteItems items = note::TouchedItems(note);
  for (std::uint64_t number = base + 1; number <= installed; ++number) {
    const proto::LogEntry* entry = FindRecent(state, {number});
    if (entry == nullptr) {
      return Refuse(
          "base_revision_too_old",
          "revision " + std::to_string(number) +
              " is no longer kept in memory; read the configuration again "
              "and use its revision as the base revision");
    }
    const std::string item = CommonItem(items, *entry);
    if (!item.empty()) {
      return Refuse("conflict", "revision " + std::to_string(number) + " (" +
                                    entry->note_id() + ") changed " + item);
    }
  }
  return Refusal{};
}

}  // namespace

Refusal ReadPublication(const ReleaseState& state, Publication& publication) {
  const PublishRequest& request = publication.request;
  publication.note.id = request.note_id;
  if (!state.ready)
    return Refuse("not_ready", "this daemon has no current configuration");
  if (state.publications.size() >= state.settings.queued_publications)
    return Refuse("busy", "too many publications are queued at this daemon");
  auto note = note::ParseReleaseNote(request.yaml, "note");
  if (!note.has_value())
    return Refuse("invalid_note", note.error().detail);
  publication.note = std::move(note.value());
  publication.text_hash = base::StableHash(request.yaml);
  return CheckNoteId(request.note_id, publication);
}

Refusal CheckNote(const InstallState& state, const note::ReleaseNote& note) {
  if (note.base_revision) {
    Refusal refusal = CheckBaseRevision(state, note);
    if (refusal.refused)
      return refusal;
  }
  const auto result = note::TestNote(state.configuration, note);
  if (result.has_value())
    return Refusal{};
  const bool floor =
      result.error().code == base::make_error_code(base::ErrorCode::kRefused);
  return Refuse(floor ? "below_floor" : "conflict", result.error().detail);
}

}  // namespace poplarfork::release
