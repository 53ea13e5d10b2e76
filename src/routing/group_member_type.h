#pragma once

#include "base/ids_type.h"

namespace poplarfork::routing {

// A daemon that may serve a service.
struct GroupMember {
  base::DaemonId id;
  base::DataCentreId data_centre;
};

}  // namespace poplarfork::routing
