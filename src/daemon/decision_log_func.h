#pragma once

#include <cpprest/json.h>

#include <string>
#include <string_view>

#include "daemon/decision_log_type.h"

namespace poplarfork::daemon {

// Logs one decision about a request and keeps the line for `poplarfork
// explain`. The lines of the newest 5,000 requests are kept (about 4 MB); those
// of older requests are dropped.
void LogRequestDecision(DecisionLog& log,
                        const std::string& request_id,
                        std::string_view event,
                        web::json::value fields);

// Returns the log lines of the request with this id; empty if the request is
// unknown or its lines have been dropped.
std::string FindRequestLines(const DecisionLog& log,
                             const std::string& request_id);

}  // namespace poplarfork::daemon
