#include "daemon/decision_log_func.h"

#include <utility>

#include "logging/log_func.h"

namespace poplarfork::daemon {

namespace {

constexpr std::size_t kMaxLoggedRequests = 5000;

}  // namespace

void LogRequestDecision(DecisionLog& log,
                        const std::string& request_id,
                        std::string_view event,
                        web::json::value fields) {
  fields["request_id"] = web::json::value::string(request_id);
  std::string line = logging::WriteLogLine(event, std::move(fields));
  const auto [entry, added] = log.lines_by_request.try_emplace(request_id);
  entry->second += line;
  entry->second += '\n';
  if (!added)
    return;
  log.request_ids.push_back(request_id);
  if (log.request_ids.size() <= kMaxLoggedRequests)
    return;
  log.lines_by_request.erase(log.request_ids.front());
  log.request_ids.pop_front();
}

std::string FindRequestLines(const DecisionLog& log,
                             const std::string& request_id) {
  const auto found = log.lines_by_request.find(request_id);
  return found == log.lines_by_request.end() ? std::string() : found->second;
}

}  // namespace poplarfork::daemon
