#pragma once

#include "fleet/list_batch_type.h"

namespace poplarfork::fleet {

// Records in one batch. Load pattern answered: all daemons start at once and
// ask one reader for the whole list. Each has one batch on the way and asks for
// the next when it has come, so that the reader's link is shared instead of
// flooded: 200 daemons with a batch of 5 KB each keep a link of 10 Mbit/s busy
// for 0.8 s.
inline constexpr std::size_t kBatchRecords = 40;

// Returns the first records that changed after `since`, at least
// kBatchRecords if there are so many. Records of one revision stay together.
ListBatch NextBatch(const View& view, StoreRevision since);

// Takes a batch as a part of a whole list, if it follows on the parts before.
// Two readers may send the same parts, and a part may come twice; taken for a
// list of its own, the last part would remove all that the others named.
BatchUse NoteBatch(ListTransfer& transfer, const ListBatch& batch);

}  // namespace poplarfork::fleet
