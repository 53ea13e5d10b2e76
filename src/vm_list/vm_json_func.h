#pragma once

#include <string>
#include <vector>

#include "base/result_type.h"
#include "vm_list/vm_type.h"

namespace poplarfork::vm_list {

// Parses the JSON array in a response of the VM list. One invalid entry makes
// the result kMalformed, because a VM whose entry was skipped would be regarded
// as removed.
base::Result<std::vector<Vm>> ParseVms(const std::string& text);

}  // namespace poplarfork::vm_list
