#pragma once

#include <string>

#include "fleet/ids_type.h"
#include "gateway/gateway_type.h"

namespace poplarfork::gateway {

// Handles the news that the store is in `era`. If it is later than the known
// one, the store was restored from an older copy: this daemon registers again,
// lists the store when it next reads it, and defers the removal of what the
// copy lacks. `source` is "store" or the daemon that told the era.
void NoticeEra(Gateway& gateway,
               fleet::StoreEra era,
               const std::string& source);

// Returns whether this daemon has started after a restore and does not know yet
// whether other daemons have a later configuration than the store.
bool AwaitsPeers(const Gateway& gateway, base::TimePoint now);

// Ends that state.
void EndAwaitingPeers(Gateway& gateway);

}  // namespace poplarfork::gateway
