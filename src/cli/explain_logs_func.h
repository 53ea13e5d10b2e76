#pragma once

#include <string>
#include <vector>

#include "cli/command_result_type.h"
#include "cli/options_type.h"

namespace poplarfork::cli {

// Collects the log lines that explain how a request was handled from the log
// files of several gateways: the lines about the request, and the lines about
// the health status that dispatchers assigned to the request's upstreams from
// 4 s before its first line to 4 s after its last line. The lines are sorted by
// time. Lines without a JSON object are skipped, and text before the JSON
// object of a line is ignored.
CommandResult ExplainLogs(const std::string& request_id,
                          const std::vector<std::string>& log_texts,
                          OutputFormat output);

}  // namespace poplarfork::cli
