#pragma once

#include <vector>

#include "address/address_answer_type.h"
#include "base/ids_type.h"
#include "base/rng_type.h"
#include "membership/live_member_type.h"

namespace poplarfork::address {

// Chooses up to 8 addresses of `group` for a caller in `caller_data_centre`,
// which may be empty or unknown. `members` must be ordered by id, as
// `LiveMembers` returns them. The caller's data centre comes first. In each
// data centre, daemons with a low load come before highly loaded ones; equal
// ones are in random order. Two places are reserved for other data centres
// while they have members. Leaving and dead daemons are never chosen, and
// suspects only if fewer than two other daemons are left. The answer is empty
// if no daemon of the group is left.
AddressAnswer ChooseAddresses(
    const std::vector<membership::LiveMember>& members,
    const std::vector<base::DaemonId>& group,
    const base::DataCentreId& caller_data_centre,
    base::Rng& rng);

}  // namespace poplarfork::address
