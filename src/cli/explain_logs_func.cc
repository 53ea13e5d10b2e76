#include "cli/explain_logs_func.h"

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <set>
#include <string_view>

namespace poplarfork::cli {

namespace {

using Json = nlohmann::ordered_json;

// Log lines about the health of the request's upstreams are included from this
// long before the request's first line until this long after its last.
constexpr std::int64_t kContextMarginUs = 4'000'000;

// Returns the JSON objects of the lines that have a time and an event.
std::vector<Json> ParseLogLines(const std::vector<std::string>& log_texts) {
  std::vector<Json> lines;
  for (const std::string& log_text : log_texts) {
    std::size_t start = 0;
    while (start < log_text.size()) {
      const std::size_t end =
          std::min(log_text.find('\n', start), log_text.size());
      const std::size_t object_start = log_text.find('{', start);
      if (object_start < end) {
        Json line = Json::parse(
            log_text.begin() + static_cast<std::ptrdiff_t>(object_start),
            log_text.begin() + static_cast<std::ptrdiff_t>(end), nullptr,
            false);
        if (line.is_object() && line.contains("unix_us") &&
            line["unix_us"].is_number_integer() && line.contains("event"))
          lines.push_back(std::move(line));
      }
      start = end + 1;
    }
  }
  return lines;
}

std::string GetString(const Json& line, const char* member) {
  const auto found = line.find(member);
  return found != line.end() && found->is_string() ? found->get<std::string>()
                                                   : "";
}

std::int64_t GetUnixUs(const Json& line) {
  return line["unix_us"].get<std::int64_t>();
}

// Returns the request's own lines and the health lines about its upstreams,
// sorted by time.
std::vector<Json> CollectRequestLines(const std::string& request_id,
                                      const std::vector<Json>& lines) {
  std::vector<Json> request_lines;
  std::set<std::string> upstreams;
  for (const Json& line : lines) {
    if (GetString(line, "request") != request_id)
      continue;
    request_lines.push_back(line);
    if (const std::string upstream = GetString(line, "upstream");
        !upstream.empty())
      upstreams.insert(upstream);
  }
  if (request_lines.empty())
    return request_lines;
  const auto by_time = [](const Json& a, const Json& b) {
    return GetUnixUs(a) < GetUnixUs(b);
  };
  std::stable_sort(request_lines.begin(), request_lines.end(), by_time);
  const std::int64_t first_us =
      GetUnixUs(request_lines.front()) - kContextMarginUs;
  const std::int64_t last_us =
      GetUnixUs(request_lines.back()) + kContextMarginUs;
  for (const Json& line : lines) {
    const std::string event = GetString(line, "event");
    const bool is_upstream_event = event == "upstream_standing" ||
                                   event == "upstream_known" ||
                                   event == "probed";
    if (is_upstream_event && upstreams.contains(GetString(line, "upstream")) &&
        GetUnixUs(line) >= first_us && GetUnixUs(line) <= last_us)
      request_lines.push_back(line);
  }
  std::stable_sort(request_lines.begin(), request_lines.end(), by_time);
  return request_lines;
}

std::string FormatRow(const Json& line, std::int64_t start_us) {
  char elapsed[32];
  std::snprintf(elapsed, sizeof(elapsed), "%+10.2f ms",
                static_cast<double>(GetUnixUs(line) - start_us) / 1000);
  std::string row = std::string(elapsed) + "  " + GetString(line, "daemon") +
                    "  " + GetString(line, "event");
  for (const auto& [member, value] : line.items()) {
    if (member == "unix_us" || member == "daemon" || member == "event" ||
        member == "request")
      continue;
    row += "  " + member + "=";
    row += value.is_string() ? value.get<std::string>() : value.dump();
  }
  return row + "\n";
}

}  // namespace

CommandResult ExplainLogs(const std::string& request_id,
                          const std::vector<std::string>& log_texts,
                          OutputFormat output) {
  const std::vector<Json> request_lines =
      CollectRequestLines(request_id, ParseLogLines(log_texts));
  if (request_lines.empty())
    return CommandResult{
        ExitCode::kRejected, "",
        "the logs have no line about the request " + request_id + "\n"};
  CommandResult result;
  if (output == OutputFormat::kJson) {
    result.standard_output = Json(request_lines).dump(2) + "\n";
    return result;
  }
  const auto first_own_line =
      std::find_if(request_lines.begin(), request_lines.end(),
                   [&request_id](const Json& line) {
                     return GetString(line, "request") == request_id;
                   });
  for (const Json& line : request_lines)
    result.standard_output += FormatRow(line, GetUnixUs(*first_own_line));
  return result;
}

}  // namespace poplarfork::cli
