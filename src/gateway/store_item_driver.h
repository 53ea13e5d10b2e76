#pragma once

#include "gateway/gateway_type.h"
#include "gateway/store_listing.h"
#include "platform/store_type.h"

namespace poplarfork::gateway {

// Time after a store outage or a restore of the store during which removals of
// upstreams are deferred. Upstreams whose entries expired or were lost write
// them again within two seconds.
inline constexpr base::Duration kExpiredEntryGrace =
    std::chrono::milliseconds(2200);

// Applies the changes that a watch of the store has returned to the view and to
// the configuration, and tells the other daemons of what changed. The view is
// then current up to `read_at`.
void ApplyChanges(Gateway& gateway,
                  const platform::StoreItems& watched,
                  base::TimePoint read_at);

// Applies the complete list of what the store holds, and removes the upstreams
// and members from the view that it does not contain. Tells the other daemons
// of what changed.
void ApplyListing(Gateway& gateway, const Listing& listing);

// Returns whether the store has to be listed again, because a removal that was
// deferred is due.
bool IsDeferredRemovalDue(const Gateway& gateway, base::TimePoint now);

}  // namespace poplarfork::gateway
