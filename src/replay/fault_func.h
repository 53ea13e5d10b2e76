#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "replay/fault_type.h"

namespace poplarfork::replay {

// Returns the name of the fault in flags and in printed tables.
std::string_view ToName(FaultKind kind);

// Returns the fault with the name `name`, or no value if there is none.
std::optional<FaultKind> ParseFaultKind(std::string_view name);

// Returns all faults, including `kNone`, in the order of the printed tables.
std::vector<FaultKind> AllFaultKinds();

}  // namespace poplarfork::replay
