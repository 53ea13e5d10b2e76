#pragma once

#include <iosfwd>

namespace poplarfork::replay {

// Measures the time that `RoutableUpstreams` with its routing view, a request
// that is started and finished, and a tick take at 30 and at 68,000 upstreams.
// Prints one line for each size.
void RunBenchmark(std::ostream& out);

}  // namespace poplarfork::replay
