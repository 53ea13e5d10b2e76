#pragma once

#include "base/time_type.h"
#include "membership/actions_type.h"
#include "membership/membership_type.h"
#include "membership/vm_list_type.h"

namespace poplarfork::membership {

// Uses the VMs of the list as seeds and marks the members whose VMs are leaving
// or missing. A leaving mark takes effect at once and stays until the member
// restarts. A missing VM only shortens the suspicion of a member whose probes
// fail, because the list lags behind. An empty list has no effect. A daemon
// that started without seeds joins through the VMs of the list.
void ApplyVmList(Membership& membership, const VmList& list, Actions& actions);

}  // namespace poplarfork::membership
