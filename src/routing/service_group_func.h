#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "base/ids_type.h"
#include "routing/group_member_type.h"

namespace poplarfork::routing {

// Number of daemons that serve one service. 40 daemons with 6 connections each
// use 240 of an upstream's 330 connections.
inline constexpr std::size_t kServiceGroupSize = 40;

// Returns the group of `service`, which is all of `members` if there are at
// most `size`. Otherwise it has the best member of each data centre by
// rendezvous weight, as long as there are places, and then the best of all
// others, with at most half of the places in one data centre unless the others
// have too few members. The result does not depend on the order of `members`,
// and one member that joins or leaves changes at most two places. The member
// with the highest weight comes first.
std::vector<GroupMember> ServiceGroup(const base::ServiceId& service,
                                      std::span<const GroupMember> members,
                                      std::size_t size = kServiceGroupSize);

// Returns whether `daemon` is in `group`.
bool IsInGroup(std::span<const GroupMember> group,
               const base::DaemonId& daemon);

}  // namespace poplarfork::routing
