#pragma once

#include <membership.pb.h>

#include "base/rng_type.h"
#include "base/time_type.h"
#include "membership/actions_type.h"
#include "membership/membership_type.h"

namespace poplarfork::membership {

// Runs the exchange of member lists that is due. Until a list has been read
// completely, asks seeds for theirs. After that, reads one part per sync
// interval from a neighbour, and periodically contacts a dead member or a VM
// that is not in the member list.
void TickListExchange(Membership& membership,
                      base::TimePoint now,
                      base::Rng& rng,
                      Actions& actions);

// Replies with the requested part of the member list, within the rate limit.
// The sender must have been merged into the list before.
void HandleJoin(Membership& membership,
                const proto::Join& join,
                base::TimePoint now,
                Actions& actions);

// Merges a part of another daemon's list, and requests the next part while this
// daemon is joining.
void HandleMemberList(Membership& membership,
                      const base::DaemonId& sender,
                      const proto::MemberList& list,
                      base::TimePoint now,
                      Actions& actions);

// Asks a sender that is not in the list for its own entry, within the rate
// limit.
void RequestSenderEntry(Membership& membership,
                        const base::DaemonId& sender,
                        base::TimePoint now,
                        Actions& actions);

}  // namespace poplarfork::membership
