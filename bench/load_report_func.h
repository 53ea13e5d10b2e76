#pragma once

#include <string>

#include "bench/target_result_type.h"

namespace poplarfork::bench {

// Returns one line of JSON with the requests per second, latency quantiles in
// microseconds, the responses by status, and the counts of errors and of wrong
// responses.
std::string FormatReportLine(const TargetResult& result);

// Returns true if every checked response was complete and belonged to its
// request.
bool IsVerified(const TargetResult& result);

}  // namespace poplarfork::bench
