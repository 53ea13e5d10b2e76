#pragma once

#include <string>

#include "base/ids_type.h"
#include "base/time_type.h"
#include "membership/actions_type.h"
#include "membership/membership_type.h"

namespace poplarfork::membership {

// Returns true if a message from the member itself arrived within the last
// `kRecentlyHeardWindow`.
bool WasHeardRecently(const Member& member, base::TimePoint now);

// Starts to suspect a member if it is in the list and not dead. `reporter` is
// empty if this daemon observed the failure itself. A leaving member keeps the
// state kLeaving.
void StartSuspicion(Membership& membership,
                    const base::DaemonId& daemon,
                    const base::DaemonId& reporter,
                    std::string reason,
                    base::TimePoint now,
                    Actions& actions);

// Ends a suspicion without declaring the member dead. The member's state is
// left unchanged.
void ClearSuspicion(Membership& membership,
                    const base::DaemonId& daemon,
                    Member& member);

// Marks a member that is in the list as dead and queues that for gossip. `kind`
// is `kDied` or `kLeft`.
void MarkDead(Membership& membership,
              const base::DaemonId& daemon,
              ChangeKind kind,
              const base::DaemonId& reporter,
              std::string reason,
              base::TimePoint now,
              Actions& actions);

// Declares dead the suspected members whose deadline has passed. Members that
// were heard directly get more time, as do all members while this daemon is not
// healthy enough to declare others dead.
void ExpireSuspicions(Membership& membership,
                      base::TimePoint now,
                      Actions& actions);

// Removes the members that have been dead for `kDeadMemberRetention`.
void PurgeDeadMembers(Membership& membership,
                      base::TimePoint now,
                      Actions& actions);

}  // namespace poplarfork::membership
