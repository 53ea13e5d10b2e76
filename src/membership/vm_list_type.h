#pragma once

#include <vector>

#include "base/ids_type.h"

namespace poplarfork::membership {

// One VM of the platform's list, identified by the daemon that runs on it.
struct VmStatus {
  base::DaemonId daemon;
  bool is_leaving = false;
};

// The platform's list of live and leaving VMs. It lags behind the actual state.
struct VmList {
  std::vector<VmStatus> vms;
};

}  // namespace poplarfork::membership
