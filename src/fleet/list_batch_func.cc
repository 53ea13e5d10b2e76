#include "fleet/list_batch_func.h"

#include <algorithm>

namespace poplarfork::fleet {

namespace {

// Returns the revision of the last record in the batch, or `as_of` if the batch
// contains all records that changed after `since`.
StoreRevision LastRevisionOfBatch(const View& view, StoreRevision since) {
  std::vector<StoreRevision> changes;
  const auto collect = [&changes, since](const auto& records) {
    for (const auto& [id, record] : records) {
      if (record.change_revision > since)
        changes.push_back(record.change_revision);
    }
  };
  collect(view.members);
  collect(view.upstreams);
  if (changes.size() <= kMinBatchRecords)
    return view.as_of;
  const auto last = changes.begin() + (kMinBatchRecords - 1);
  std::nth_element(changes.begin(), last, changes.end());
  return *last;
}

}  // namespace

ListBatch NextBatch(const View& view, StoreRevision since) {
  ListBatch batch;
  batch.since = since;
  batch.as_of = LastRevisionOfBatch(view, since);
  // The view may contain announced records that are newer than its `as_of`, up
  // to which this daemon has read the store completely.
  const bool is_last = batch.as_of >= view.as_of;
  for (const auto& [id, record] : view.members) {
    if (record.change_revision > since &&
        (is_last || record.change_revision <= batch.as_of))
      batch.members.push_back(record);
  }
  for (const auto& [id, record] : view.upstreams) {
    if (record.change_revision > since &&
        (is_last || record.change_revision <= batch.as_of))
      batch.upstreams.push_back(record);
  }
  batch.as_of = std::min(batch.as_of, view.as_of);
  batch.more = !is_last;
  return batch;
}

BatchResult ApplyBatch(ListTransfer& transfer, const ListBatch& batch) {
  const bool is_first = batch.since.value == 0;
  const bool is_known =
      transfer.in_progress && batch.as_of <= transfer.received_up_to;
  const bool follows =
      transfer.in_progress && batch.since == transfer.received_up_to;
  if (is_known || (!is_first && !follows))
    return BatchResult::kIgnored;
  if (is_first)
    transfer = {};
  transfer.in_progress = batch.more;
  transfer.received_up_to = batch.as_of;
  for (const MemberRecord& record : batch.members) {
    if (!record.removed)
      transfer.members.insert(record.member.id);
  }
  // The store holds the entries of withheld upstreams.
  for (const UpstreamRecord& record : batch.upstreams) {
    if (!record.removed || record.restored)
      transfer.upstreams.insert(record.entry.id);
  }
  return batch.more ? BatchResult::kApplied : BatchResult::kCompleted;
}

}  // namespace poplarfork::fleet
