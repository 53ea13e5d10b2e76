#pragma once

#include "base/ids_type.h"

namespace poplarfork::release {

// A daemon that the member list shows as alive and not leaving.
struct Member {
  base::DaemonId id;
  base::DataCentreId data_centre;

  friend bool operator==(const Member&, const Member&) = default;
};

}  // namespace poplarfork::release
