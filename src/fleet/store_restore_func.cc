#include "fleet/store_restore_func.h"

#include <algorithm>

#include "fleet/view_func.h"

namespace poplarfork::fleet {

namespace {

// Returns whether an entry was written later than the known one, judged by the
// entries alone. Starts are compared in order because the copy may hold the
// entry of an earlier start with the same id. Without the known sequence it is
// uncertain that the known entry is the last one.
bool IsLaterEntry(const UpstreamEntry& entry, const UpstreamEntry& known) {
  if (known.sequence == 0)
    return false;
  if (entry.incarnation != known.incarnation)
    return entry.incarnation > known.incarnation;
  return entry.sequence > known.sequence;
}

// Returns whether an entry that was written in the present era differs from the
// last known one, as the upstream's own writes do. Without a sequence on either
// side, the later revision is all that can differ.
bool IsWrittenAgain(const UpstreamEntry& entry, const UpstreamEntry& known) {
  return entry.incarnation != known.incarnation || entry.sequence == 0 ||
         entry.sequence > known.sequence;
}

// Returns whether the known entry of an upstream that is present stays in use
// in place of one that may come from the copy. An upstream that is leaving gets
// no new requests because of an older entry.
bool StaysInUse(const UpstreamEntry& known, const UpstreamEntry& entry) {
  if (entry.incarnation != known.incarnation)
    return entry.incarnation < known.incarnation;
  return known.phase == UpstreamPhase::kDraining ||
         (entry.sequence > 0 && entry.sequence < known.sequence);
}

// Takes over the larger sequence of the same start. An unknown sequence stays
// unknown, since the other one need not be the last.
void RaiseSequence(UpstreamEntry& known, const UpstreamEntry& entry) {
  if (known.incarnation == entry.incarnation && known.sequence > 0)
    known.sequence = std::max(known.sequence, entry.sequence);
}

RecordVerdict JudgeLateRecord(const UpstreamRecord& known,
                              const UpstreamRecord& record) {
  const bool has_left = record.removed && !known.removed && known.restored &&
                        record.change_revision > known.earlier_revision &&
                        !IsLaterEntry(known.entry, record.entry);
  return has_left ? RecordVerdict::kWithheld : RecordVerdict::kIgnored;
}

// Judges the first entry of an upstream in the present era.
RecordVerdict JudgeFirstEntry(const UpstreamRecord& known,
                              const UpstreamRecord& record) {
  const bool is_proven =
      record.restored
          ? IsLaterEntry(record.entry, known.entry)
          : !known.removed || IsWrittenAgain(record.entry, known.entry);
  if (is_proven)
    return RecordVerdict::kApplied;
  return known.removed || StaysInUse(known.entry, record.entry)
             ? RecordVerdict::kKept
             : RecordVerdict::kApplied;
}

// Records that the known entry of an upstream that is present was read again.
void RecordHeartbeat(const View& view,
                     UpstreamRecord& known,
                     const UpstreamRecord& read) {
  const UpstreamEntry& entry = read.entry;
  if (IsFromEarlierEra(view, known.change_revision)) {
    known.earlier_revision = known.change_revision;
    known.change_revision = read.change_revision;
    known.restored = read.restored;
    RaiseSequence(known.entry, entry);
    return;
  }
  if (read.change_revision <= known.change_revision)
    return;
  known.entry.sequence = entry.sequence;
  if (!known.restored)
    return;
  // The revision is raised so that daemons learn of this from the records that
  // changed.
  known.restored = false;
  known.change_revision = read.change_revision;
}

}  // namespace

bool BeginEra(View& view, StoreRevision era_start) {
  if (era_start <= view.era_start)
    return false;
  view.era_start = era_start;
  return true;
}

bool IsFromEarlierEra(const View& view, StoreRevision revision) {
  return revision < view.era_start;
}

bool IsWithheld(const UpstreamRecord& record) {
  return record.removed && record.restored;
}

RecordVerdict JudgeRecord(const View& view,
                          const UpstreamRecord& known,
                          const UpstreamRecord& record) {
  const bool known_is_earlier = IsFromEarlierEra(view, known.change_revision);
  if (IsFromEarlierEra(view, record.change_revision)) {
    if (!known_is_earlier)
      return JudgeLateRecord(known, record);
    // Of two earlier eras, the copy of the later one may hold the entry.
    if (record.restored && !record.removed && known.removed &&
        !IsLaterEntry(record.entry, known.entry))
      return RecordVerdict::kIgnored;
  } else if (IsWithheld(record) && !known.removed &&
             IsLaterEntry(known.entry, record.entry)) {
    // The upstream had come back before the restore, and only this daemon knew.
    return RecordVerdict::kIgnored;
  } else if (!record.removed && known_is_earlier) {
    return JudgeFirstEntry(known, record);
  } else if (!record.removed && IsWithheld(known)) {
    if (record.change_revision < known.change_revision)
      return RecordVerdict::kIgnored;
    return IsWrittenAgain(record.entry, known.entry) &&
                   (!record.restored ||
                    record.change_revision > known.change_revision)
               ? RecordVerdict::kApplied
               : RecordVerdict::kKept;
  }
  if (record.change_revision > known.change_revision)
    return RecordVerdict::kApplied;
  // Two daemons have read the same entry, and only the other one knew that the
  // upstream had left.
  const bool knew_of_removal =
      record.change_revision == known.change_revision && IsWithheld(record) &&
      !known.removed;
  return knew_of_removal ? RecordVerdict::kWithheld : RecordVerdict::kIgnored;
}

void KeepKnown(const View& view,
               UpstreamRecord& known,
               const UpstreamRecord& record) {
  if (IsFromEarlierEra(view, known.change_revision))
    known.earlier_revision = known.change_revision;
  known.change_revision = record.change_revision;
  known.restored = true;
  if (!known.removed)
    return;
  known.learned_at = record.learned_at;
  RaiseSequence(known.entry, record.entry);
}

void Withhold(UpstreamRecord& known, const UpstreamRecord& record) {
  known.removed = true;
  known.restored = true;
  known.learned_at = record.learned_at;
  known.entry.incarnation = record.entry.incarnation;
  known.entry.sequence = record.entry.sequence;
}

void MergeLastEntry(UpstreamRecord& known, const UpstreamRecord& record) {
  UpstreamEntry& last = known.entry;
  // Withheld upstreams have the revision of the copy's entry. The two daemons
  // may know of different removals, so if one last entry is not known, neither
  // need be the last.
  if (IsWithheld(known) && IsWithheld(record) &&
      (last.sequence == 0 || record.entry.sequence == 0)) {
    last.sequence = 0;
    return;
  }
  if (record.entry.incarnation < last.incarnation)
    return;
  if (record.entry.incarnation > last.incarnation)
    last.sequence = 0;
  last.incarnation = record.entry.incarnation;
  last.sequence = std::max(last.sequence, record.entry.sequence);
}

bool ClassifyReadEntry(View& view, UpstreamRecord& read, bool is_listed) {
  const auto known = view.upstreams.find(read.entry.id);
  const bool is_known = known != view.upstreams.end();
  // An entry that is later than another one of the era was written in it.
  const bool is_first_in_era =
      !is_known || IsFromEarlierEra(view, known->second.change_revision) ||
      read.change_revision <= known->second.change_revision;
  read.restored = is_listed && is_first_in_era && view.era_start.value > 0;
  const bool is_heartbeat = is_known && !known->second.removed &&
                            IsSameEntry(known->second.entry, read.entry);
  if (is_heartbeat)
    RecordHeartbeat(view, known->second, read);
  return is_heartbeat;
}

std::optional<UpstreamRecord> MakeRemoval(const UpstreamRecord& known,
                                          StoreRevision revision,
                                          bool is_listed,
                                          base::TimePoint now) {
  if (revision < known.change_revision ||
      (revision == known.change_revision && known.removed))
    return std::nullopt;
  UpstreamRecord removal = known;
  removal.removed = true;
  removal.restored = false;
  // A list does not show the last entry before the removal, and an entry of the
  // copy need not be the last one.
  if (is_listed || known.restored)
    removal.entry.sequence = 0;
  removal.change_revision =
      std::max(revision, {known.change_revision.value + 1});
  removal.learned_at = now;
  return removal;
}

void ForgetSequences(View& view) {
  for (auto& [id, record] : view.upstreams) {
    if (!record.removed)
      record.entry.sequence = 0;
  }
}

std::vector<UpstreamRecord> WithheldRecords(const View& view) {
  std::vector<UpstreamRecord> records;
  for (const auto& [id, record] : view.upstreams) {
    if (IsWithheld(record))
      records.push_back(record);
  }
  return records;
}

bool IsUnawareOfRemoval(const View& view, const UpstreamRecord& record) {
  const auto known = view.upstreams.find(record.entry.id);
  return !record.removed && !IsFromEarlierEra(view, record.change_revision) &&
         known != view.upstreams.end() && IsWithheld(known->second) &&
         known->second.change_revision >= record.change_revision;
}

}  // namespace poplarfork::fleet
