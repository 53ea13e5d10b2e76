#pragma once

#include <optional>
#include <vector>

#include "fleet/store_restore_type.h"
#include "fleet/view_type.h"

namespace poplarfork::fleet {

// These functions decide what a record proves after the store was restored from
// an older copy. The fault that this handles is a copy that brings back an
// upstream that has left: requests to it would fail. An entry counts as written
// again when it shows another start or a later sequence than the last known
// one. The table in docs/design/store-restore.md lists all cases.

// Begins the era of the store whose revisions are later than `era_start`, if it
// is later than the present one. Returns whether it is.
bool BeginEra(View& view, StoreRevision era_start);

// Tells whether a revision belongs to an era before the present one.
bool IsFromEarlierEra(const View& view, StoreRevision revision);

// Tells whether an upstream left in an earlier era and is withheld from
// requests until it writes itself again.
bool IsWithheld(const UpstreamRecord& record);

// Decides what becomes of `record`, which concerns the same upstream as
// `known`.
RecordVerdict JudgeRecord(const View& view,
                          const UpstreamRecord& known,
                          const UpstreamRecord& record);

// Carry out the verdicts kKept and kWithheld.
void KeepKnown(const View& view,
               UpstreamRecord& known,
               const UpstreamRecord& record);
void Withhold(UpstreamRecord& known, const UpstreamRecord& record);

// Merges what two daemons know of the last entry before a removal that both
// have at the same revision.
void MergeLastEntry(UpstreamRecord& known, const UpstreamRecord& record);

// Classifies an entry that was just read from the store: marks it if it may
// come from the copy, which a list contains and a watch does not. Returns true
// if it is the known entry, which upstreams write repeatedly as a heartbeat;
// this is then recorded and there is nothing to merge.
bool ClassifyReadEntry(View& view, UpstreamRecord& read, bool is_listed);

// Returns the removal of a known upstream at `revision`, or right after its
// last change if that has the same revision, so that other daemons accept the
// removal as newer. Returns nothing if this daemon has learned from another one
// of a later change or of this removal.
std::optional<UpstreamRecord> MakeRemoval(const UpstreamRecord& known,
                                          StoreRevision revision,
                                          bool is_listed,
                                          base::TimePoint now);

// Forgets the sequences of all upstreams that are present. Called when this
// daemon begins to read the store, because it has not read the writes before.
void ForgetSequences(View& view);

// Returns the records of the withheld upstreams, which a daemon needs that has
// read the restored store without knowing who had left before.
std::vector<UpstreamRecord> WithheldRecords(const View& view);

// Tells whether `record`, received from another daemon, names an upstream that
// is withheld here, so that the other daemon does not know that it had left.
bool IsUnawareOfRemoval(const View& view, const UpstreamRecord& record);

}  // namespace poplarfork::fleet
