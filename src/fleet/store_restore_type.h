#pragma once

namespace poplarfork::fleet {

// What becomes of a record of an upstream that is already known.
enum class RecordVerdict {
  // The record replaces the known one.
  kApplied,
  // The record is older than the known one.
  kIgnored,
  // The record may come from the copy that the store was restored from, and
  // what is known is later: the upstream stays as it is known, and only the
  // revision is taken over.
  kKept,
  // The upstream left in an earlier era, and its entry in the present era may
  // come from the copy: it is withheld from requests.
  kWithheld,
};

}  // namespace poplarfork::fleet
