#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/ids_type.h"
#include "base/result_type.h"

namespace poplarfork::vm_list {

enum class VmState { kLive, kLeaving };

// An entry of the VM list. The list lags behind the actual state of the VMs.
struct Vm {
  std::string address;
  base::DataCentreId data_centre;
  VmState state = VmState::kLive;
};

using VmsCallback = std::function<void(base::Result<std::vector<Vm>>)>;

}  // namespace poplarfork::vm_list
