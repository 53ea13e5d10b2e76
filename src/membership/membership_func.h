#pragma once

#include <cstdint>
#include <vector>

#include "base/ids_type.h"
#include "base/rng_type.h"
#include "base/time_type.h"
#include "membership/actions_type.h"
#include "membership/live_member_type.h"
#include "membership/membership_type.h"
#include "membership/vm_list_type.h"

namespace poplarfork::membership {

// Returns the state of a failure detector that asks up to 3 of `seeds` for the
// member list at its first tick. Without seeds, the list counts as complete at
// once. `self.incarnation` must be higher than in earlier runs at the same
// address.
Membership MakeMembership(LocalMember self,
                          std::vector<base::DaemonId> seeds,
                          base::TimePoint now,
                          base::Rng& rng);

// Does all that is due at `now`. It must be called every `kTickInterval`; after
// a late call the detector considers this daemon slow and, for a time, does
// not suspect others.
Actions Tick(Membership& membership, base::TimePoint now, base::Rng& rng);

// Handles a message of the kind PROBE, ACK, INDIRECT_PROBE, JOIN, MEMBER_LIST
// or LEAVING. Messages of other kinds and malformed ones are counted and
// ignored.
Actions HandleMessage(Membership& membership,
                      const IncomingMessage& message,
                      base::TimePoint now);

// Handles a new version of the platform's VM list.
Actions HandleVmListUpdate(Membership& membership, const VmList& list);

// Sets this daemon's load in percent. Every message to a neighbour contains the
// load. When it becomes high or low, it is also announced to all members, at
// most every 10 s. The function should be called about once a second.
void SetLoad(Membership& membership, std::uint8_t load, base::TimePoint now);

// Sets the installed revision that all messages contain.
void SetRevision(Membership& membership, base::Revision revision);

// Announces to all neighbours at once that this daemon is leaving. It continues
// to acknowledge probes.
Actions StartLeaving(Membership& membership);

// Announces to all neighbours at once that this daemon has left. It must be
// called just before the process exits.
Actions FinishLeaving(Membership& membership);

// Returns this daemon and all members that are not dead, ordered by id. Except
// for loads and revisions, the list changes only when
// `Membership::member_list_version` changes.
std::vector<LiveMember> LiveMembers(const Membership& membership);

}  // namespace poplarfork::membership
