#include "cli/where_table_func.h"

#include <cstdio>
#include <vector>

#include "cli/table_func.h"

namespace poplarfork::cli {

namespace {

using Json = nlohmann::ordered_json;

std::string GetText(const Json& json, const char* member) {
  return json.at(member).get<std::string>();
}

std::string FormatNumber(double number, const char* format = "%.3f") {
  char text[32];
  std::snprintf(text, sizeof(text), format, number);
  return text;
}

std::string GetNumber(const Json& json, const char* member) {
  return FormatNumber(json.at(member).get<double>());
}

std::string GetCount(const Json& json, const char* member) {
  return std::to_string(json.at(member).get<std::uint64_t>());
}

// Returns the text of a member that may be null.
std::string GetOptional(const Json& json,
                        const char* member,
                        std::string (*format)(const Json&, const char*)) {
  return json.at(member).is_null() ? "none" : format(json, member);
}

std::string FormatOutcome(const Json& outcome) {
  const std::string result = GetText(outcome, "result");
  if (result == "sent") {
    std::string text = "would be sent to " + GetText(outcome, "upstream");
    if (outcome.at("for_coverage").get<bool>())
      text += " for coverage";
    if (outcome.at("near_tie").get<bool>())
      text += " or another of nearly the same cost, chosen at random";
    return text;
  }
  if (result == "waits")
    return "would wait for a free slot";
  std::string text = "would be refused with status " +
                     GetCount(outcome, "status") + " (" +
                     GetText(outcome, "reason") + ")";
  if (outcome.contains("retry_after_ms"))
    text +=
        ", Retry-After about " + GetNumber(outcome, "retry_after_ms") + " ms";
  if (outcome.value("other_shard_is_asked", false))
    text += "; if there is another shard, it is asked next";
  return text;
}

std::string FormatCandidates(const Json& explanation) {
  std::vector<Row> rows = {
      {"candidate", "data centre", "health", "fault", "running", "cost"}};
  for (const Json& candidate : explanation.at("candidates"))
    rows.push_back(
        {GetText(candidate, "upstream"), GetText(candidate, "data_centre"),
         GetText(candidate, "health"),
         GetNumber(candidate, "fault_probability"),
         GetCount(candidate, "running") + "/" + GetCount(candidate, "slots"),
         GetNumber(candidate, "cost")});
  std::string text = rows.size() > 1 ? FormatRows(rows) : "no candidates\n";
  const auto count = explanation.at("candidate_count").get<std::uint64_t>();
  if (count > rows.size() - 1)
    text += "and " + std::to_string(count - (rows.size() - 1)) + " more\n";
  return text;
}

std::string FormatExcluded(const Json& explanation) {
  std::vector<Row> rows = {{"excluded", "reason"}};
  for (const Json& excluded : explanation.at("excluded"))
    rows.push_back(
        {GetText(excluded, "upstream"), GetText(excluded, "reason")});
  return rows.size() > 1 ? FormatRows(rows) : "";
}

std::string FormatShard(const Json& shard) {
  const bool is_dispatcher = shard.at("is_dispatcher").get<bool>();
  std::string text =
      "shard " + GetCount(shard, "shard") + " of " + GetCount(shard, "shards") +
      ", dispatcher " + GetText(shard, "dispatcher") +
      (is_dispatcher ? ", which is the queried gateway"
                     : ", control address " +
                           GetText(shard, "dispatcher_control_address")) +
      "\n";
  const Json& explanation = shard.at("explanation");
  if (explanation.is_null())
    return text + "no explanation: " +
           shard.value("error", "known only at the dispatcher") + "\n";
  text += FormatRows({{"account tokens",
                       GetOptional(explanation, "account_tokens", GetNumber)},
                      {"waiting requests", GetCount(explanation, "waiting")}});
  text += FormatCandidates(explanation) + FormatExcluded(explanation);
  return text + FormatOutcome(explanation.at("outcome")) + "\n";
}

}  // namespace

std::string FormatWhereTable(const Json& answer) {
  const Json& route = answer.at("route");
  const std::string route_text =
      route.is_null()
          ? "none"
          : GetText(route, "name") + " (" + GetText(route, "class") + ")";
  std::string text = FormatRows(
      {{"gateway", GetText(answer, "gateway")},
       {"configuration", GetOptional(answer, "configuration", GetCount)},
       {"route", route_text},
       {"account", GetOptional(answer, "account", GetText)},
       {"priority", GetOptional(answer, "priority", GetCount)}});
  if (!answer.at("outcome").is_null())
    text += FormatOutcome(answer.at("outcome")) + "\n";
  for (const Json& service : answer.at("services")) {
    text += "\nservice " + GetText(service, "service") + ", share " +
            FormatNumber(100 * service.at("share").get<double>(), "%.1f") +
            " %\n";
    for (const Json& shard : service.at("shards"))
      text += FormatShard(shard);
  }
  return text;
}

}  // namespace poplarfork::cli
