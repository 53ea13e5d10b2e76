#pragma once

#include <cpprest/json.h>

#include "base/result_type.h"
#include "standin/vm_list_state_type.h"

namespace poplarfork::standin {

// Parses a VM list in the form that GET /v1/vms returns. Error: kMalformed.
base::Result<std::vector<VmEntry>> ReadVmEntries(const std::string& text);

// Sets a new version of the list, which becomes visible after the lag.
void SetVmEntries(VmListState& state,
                  std::vector<VmEntry> entries,
                  base::TimePoint now);

// Returns the version of the list that is visible at `now`, and removes the
// older versions.
std::vector<VmEntry> VisibleVmEntries(VmListState& state, base::TimePoint now);

web::json::value VmEntriesJson(const std::vector<VmEntry>& entries);

// Applies one fault command. Its kind is none, down, slow or lag; slow and lag
// have a duration in the member ms. Error: kUnsupported for another kind.
base::Result<void> ApplyVmListFault(VmListState& state,
                                    const web::json::value& command);

}  // namespace poplarfork::standin
