#pragma once

#include <cstdint>
#include <string>

#include "base/ids_type.h"
#include "release/ids_type.h"

namespace poplarfork::release {

// Event: an operator asks to publish a note.
struct PublishRequest {
  PublicationId id;
  // Value of the header Poplarfork-Note-Id. It may be empty if the note itself
  // contains its id.
  base::NoteId note_id;
  std::string yaml;
  // Time of the request in milliseconds since the Unix epoch, recorded in the
  // log.
  std::int64_t published_unix_ms = 0;
};

enum class PublishOutcome {
  // The note is in the log under `revision`.
  kAccepted,
  // This request has written nothing into the log and will not do so later.
  kRejected,
  // This request may have written the note into the log, or may still do so.
  // Publishing the note again with the same id is safe and gives the outcome.
  kUnknown,
};

// Action: return the result of one `PublishRequest` to the operator.
struct PublishResult {
  PublicationId id;
  base::NoteId note_id;
  PublishOutcome outcome = PublishOutcome::kUnknown;
  // Revision of the note; 0 unless the outcome is kAccepted.
  base::Revision revision;
  // Machine-readable reason, such as "store_unavailable". It is empty if the
  // note was accepted and was not in the log before.
  std::string reason;
  // Human-readable explanation. If the note is invalid, it lists the problems,
  // one per line.
  std::string detail;
};

}  // namespace poplarfork::release
