#pragma once

#include "dispatch/dispatcher_type.h"
#include "dispatch/explanation_type.h"

namespace poplarfork::dispatch {

// Returns what OnSlotRequest() would reply to the first slot request of a
// request, and why. The dispatcher stays as it is: the reply is computed on a
// copy of the shard's state. Random numbers that OnSlotRequest() draws are
// replaced by their mean or left out. Whether the request is known to crash
// upstreams is not checked, since that depends on its body.
Explanation ExplainSlotRequest(const Dispatcher& dispatcher,
                               const base::DaemonId& daemon,
                               const SlotRequest& slot_request,
                               base::TimePoint now);

}  // namespace poplarfork::dispatch
