#pragma once

#include <membership.pb.h>

#include "base/ids_type.h"
#include "base/time_type.h"
#include "membership/actions_type.h"
#include "membership/membership_type.h"

namespace poplarfork::membership {

// Merges an update from `reporter` about a member, or about this daemon, into
// the list. Outdated updates have no effect; newer ones are queued for gossip.
// Updates about unknown members are ignored if they lack an address.
void MergeUpdate(Membership& membership,
                 const proto::MemberUpdate& update,
                 const base::DaemonId& reporter,
                 base::TimePoint now,
                 Actions& actions);

// Merges the statement about itself that a member made in one of its messages,
// and records that the member was heard. Returns false if the sender is
// unknown.
bool MergeSender(Membership& membership,
                 const proto::MemberUpdate& update,
                 base::TimePoint now,
                 Actions& actions);

}  // namespace poplarfork::membership
