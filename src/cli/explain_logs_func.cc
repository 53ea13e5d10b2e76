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
constexpr std::int64_t kContextUs = 4'000'000;

// Returns the JSON objects of the lines that have a time and an event.
std::vector<Json> ParseLines(const std::vector<std::string>& texts) {
  std::vector<Json> lines;
  for (const std::string& text : texts) {
    std::size_t start = 0;
    while (start < text.size()) {
      const std::size_t end = std::min(text.find('\n', start), text.size());
      const std::size_t brace = text.find('{', start);
      if (brace < end) {
        Json line = Json::parse(
            text.begin() + static_cast<std::ptrdiff_t>(brace),
            text.begin() + static_cast<std::ptrdiff_t>(end), nullptr, false);
        if (line.is_object() && line.contains("unix_us") &&
            line["unix_us"].is_number_integer() && line.contains("event"))
          lines.push_back(std::move(line));
      }
      start = end + 1;
    }
  }
  return lines;
}

std::string TextOf(const Json& line, const char* member) {
  const auto found = line.find(member);
  return found != line.end() && found->is_string() ? found->get<std::string>()
                                                   : "";
}

std::int64_t TimeOf(const Json& line) {
  return line["unix_us"].get<std::int64_t>();
}

// Returns the request's own lines and the health lines about its upstreams,
// sorted by time.
std::vector<Json> Story(const std::string& request_id,
                        const std::vector<Json>& lines) {
  std::vector<Json> story;
  std::set<std::string> upstreams;
  for (const Json& line : lines) {
    if (TextOf(line, "request") != request_id)
      continue;
    story.push_back(line);
    if (const std::string upstream = TextOf(line, "upstream");
        !upstream.empty())
      upstreams.insert(upstream);
  }
  if (story.empty())
    return story;
  const auto by_time = [](const Json& a, const Json& b) {
    return TimeOf(a) < TimeOf(b);
  };
  std::stable_sort(story.begin(), story.end(), by_time);
  const std::int64_t first = TimeOf(story.front()) - kContextUs;
  const std::int64_t last = TimeOf(story.back()) + kContextUs;
  for (const Json& line : lines) {
    const std::string event = TextOf(line, "event");
    const bool is_belief = event == "upstream_standing" ||
                           event == "upstream_known" || event == "probed";
    if (is_belief && upstreams.contains(TextOf(line, "upstream")) &&
        TimeOf(line) >= first && TimeOf(line) <= last)
      story.push_back(line);
  }
  std::stable_sort(story.begin(), story.end(), by_time);
  return story;
}

std::string ToRow(const Json& line, std::int64_t start) {
  char time[32];
  std::snprintf(time, sizeof(time), "%+10.2f ms",
                static_cast<double>(TimeOf(line) - start) / 1000);
  std::string row = std::string(time) + "  " + TextOf(line, "daemon") + "  " +
                    TextOf(line, "event");
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

Report ExplainLogs(const std::string& request_id,
                   const std::vector<std::string>& texts,
                   OutputFormat output) {
  const std::vector<Json> story = Story(request_id, ParseLines(texts));
  if (story.empty())
    return Report{
        ExitCode::kRejected, "",
        "the logs have no line about the request " + request_id + "\n"};
  Report report;
  if (output == OutputFormat::kJson) {
    report.standard_output = Json(story).dump(2) + "\n";
    return report;
  }
  const auto own =
      std::find_if(story.begin(), story.end(), [&request_id](const Json& line) {
        return TextOf(line, "request") == request_id;
      });
  for (const Json& line : story)
    report.standard_output += ToRow(line, TimeOf(*own));
  return report;
}

}  // namespace poplarfork::cli
