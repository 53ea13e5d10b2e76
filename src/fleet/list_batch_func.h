#pragma once

#include "fleet/list_batch_type.h"

namespace poplarfork::fleet {

// Minimum number of records in a batch, if there are so many. The load pattern
// that this handles is that all daemons start at once and request the complete
// list from one reader of the store. Each daemon has one batch in transit and
// requests the next one when it has arrived, so the daemons share the reader's
// link instead of flooding it: 200 daemons with a batch of 5 KB each use a link
// of 10 Mbit/s for 0.8 s.
inline constexpr std::size_t kMinBatchRecords = 40;

// Returns the first records that changed after `since`, at least
// kMinBatchRecords if there are so many. Records of the same revision are not
// split between batches.
ListBatch NextBatch(const View& view, StoreRevision since);

// Applies a batch to the transfer of a complete list if it directly follows the
// batches that have been received. Two readers may send the same batches, and a
// batch may arrive twice. If the last batch were taken for a complete list, all
// records of the earlier batches would be removed.
BatchResult ApplyBatch(ListTransfer& transfer, const ListBatch& batch);

}  // namespace poplarfork::fleet
