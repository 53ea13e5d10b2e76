#pragma once

#include <deque>
#include <string>
#include <unordered_map>

namespace poplarfork::daemon {

// The log lines of recent requests, which `poplarfork explain` shows.
struct DecisionLog {
  // The ids of the requests in the order of their first lines, newest at the
  // back.
  std::deque<std::string> request_ids;
  // The lines of each request, each with a newline at its end.
  std::unordered_map<std::string, std::string> lines_by_request;
};

}  // namespace poplarfork::daemon
