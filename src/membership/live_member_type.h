#pragma once

#include <cstdint>
#include <string>

#include "base/ids_type.h"
#include "membership/member_type.h"

namespace poplarfork::membership {

// A member that is not dead, in the form that other modules use.
struct LiveMember {
  base::DaemonId daemon;
  std::string edge_address;
  base::DataCentreId data_centre;
  base::Incarnation incarnation;
  // `kLeaving` also if only the VM list marks the member's VM as leaving.
  MemberState state = MemberState::kAlive;
  // Load in percent.
  std::uint8_t load = 0;
  base::Revision revision;
};

}  // namespace poplarfork::membership
