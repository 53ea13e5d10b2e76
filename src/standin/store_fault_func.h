#pragma once

#include <cpprest/json.h>

#include "base/result_type.h"
#include "standin/store_counts_type.h"
#include "standin/store_fault_type.h"
#include "standin/store_state_type.h"

namespace poplarfork::standin {

// Applies one fault command, for example {"kind":"down","mode":"hang"}. The
// kinds are none, down, slow, lose_reply and expire_leases; docs/standin.md
// describes them. Error: kUnsupported for another kind or mode.
base::Result<void> ApplyStoreFault(StoreFaults& faults,
                                   StoreState& state,
                                   const web::json::value& command);

// Returns true when the reply to a write that has just taken effect must not be
// sent, and then decrements the number of replies to lose.
bool ConsumeReplyLoss(StoreFaults& faults);

// Returns the response to GET /counts.
web::json::value StoreCountsJson(const StoreCounts& counts,
                                 std::uint64_t open_watches,
                                 const StoreState& state);

}  // namespace poplarfork::standin
