#pragma once

#include "replay/workload_type.h"

namespace poplarfork::replay {

// Returns the workload of the Snorfiks deployment (booking and orders): 30
// upstreams with 3 slots each in 3 data centres, 40 daemons, and the detection
// policy detection-fast.
Workload MakeSnorfiksWorkload(double requests_per_second);

// Returns the workload of the Kristalni deployment (catalogue and orders): 25
// upstreams with 6 slots each in 3 data centres, 36 daemons, and the detection
// policy ejection-sure.
Workload MakeKristalniWorkload(double requests_per_second);

}  // namespace poplarfork::replay
