#include "fleet/list_batch_func.h"

#include <algorithm>

namespace poplarfork::fleet {

namespace {

// Returns the revision of the last record in the batch, or `as_of` if the batch
// contains all records that changed after `since`.
StoreRevision EndOfBatch(const View& view, StoreRevision since) {
  std::vector<StoreRevision> changes;
  const auto collect = [&changes, since](const auto& records) {
    for (const auto& [id, record] : records) {
      if (record.changed > since)
        changes.push_back(record.changed);
    }
  };
  collect(view.members);
  collect(view.upstreams);
  if (changes.size() <= kBatchRecords)
    return view.as_of;
  const auto last = changes.begin() + (kBatchRecords - 1);
  std::nth_element(changes.begin(), last, changes.end());
  return *last;
}

}  // namespace

ListBatch NextBatch(const View& view, StoreRevision since) {
  ListBatch batch;
  batch.since = since;
  batch.as_of = EndOfBatch(view, since);
  // The view may contain announced records that are newer than its `as_of`, up
  // to which this daemon has read the store completely.
  const bool is_last = batch.as_of >= view.as_of;
  for (const auto& [id, record] : view.members) {
    if (record.changed > since && (is_last || record.changed <= batch.as_of))
      batch.members.push_back(record);
  }
  for (const auto& [id, record] : view.upstreams) {
    if (record.changed > since && (is_last || record.changed <= batch.as_of))
      batch.upstreams.push_back(record);
  }
  batch.as_of = std::min(batch.as_of, view.as_of);
  batch.more = !is_last;
  return batch;
}

BatchUse NoteBatch(ListTransfer& transfer, const ListBatch& batch) {
  const bool is_first = batch.since.value == 0;
  const bool is_known = transfer.under_way && batch.as_of <= transfer.cursor;
  const bool follows = transfer.under_way && batch.since == transfer.cursor;
  if (is_known || (!is_first && !follows))
    return BatchUse::kIgnored;
  if (is_first)
    transfer = {};
  transfer.under_way = batch.more;
  transfer.cursor = batch.as_of;
  for (const MemberRecord& record : batch.members) {
    if (!record.removed)
      transfer.members.insert(record.member.id);
  }
  for (const UpstreamRecord& record : batch.upstreams) {
    if (!record.removed)
      transfer.upstreams.insert(record.entry.id);
  }
  return batch.more ? BatchUse::kTaken : BatchUse::kCompletes;
}

}  // namespace poplarfork::fleet
