#pragma once

#include "membership/change_type.h"
#include "membership/member_type.h"

namespace poplarfork::daemon {

// Return the names that are written to the log and to the status response.
const char* MemberChangeName(membership::ChangeKind kind);
const char* MemberStateName(membership::MemberState state);

}  // namespace poplarfork::daemon
