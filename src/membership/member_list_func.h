#pragma once

#include <cstddef>
#include <string>

#include <membership.pb.h>

#include "base/ids_type.h"
#include "membership/actions_type.h"
#include "membership/membership_type.h"

namespace poplarfork::membership {

// Returns the member, or nullptr if it is not in the list.
Member* FindMember(Membership& membership, const base::DaemonId& daemon);
const Member* FindMember(const Membership& membership,
                         const base::DaemonId& daemon);

// Returns true if the member is alive, suspect or leaving, that is, not dead.
bool IsLive(const Member& member);

// Returns the number of other members that are not dead.
std::size_t CountLiveMembers(const Membership& membership);

// Returns this daemon's statement about itself.
proto::MemberUpdate MakeSelfUpdate(const LocalMember& self);

// Returns an update with what this daemon knows about a member. For suspect and
// dead members, the address, data centre and load are left out unless
// `include_address` is set, because all daemons know these members already.
proto::MemberUpdate MakeMemberUpdate(const base::DaemonId& daemon,
                                     const Member& member,
                                     bool include_address);

// Appends a change to the actions.
void ReportChange(Actions& actions,
                  ChangeKind kind,
                  const base::DaemonId& daemon,
                  base::Incarnation incarnation,
                  const base::DaemonId& reporter,
                  std::string reason);

}  // namespace poplarfork::membership
