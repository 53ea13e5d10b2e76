#include "replay/decision_text_func.h"

#include <array>
#include <cstdint>
#include <cstdio>
#include <string_view>

#include "health/name_func.h"

namespace poplarfork::replay {

namespace {

// Returns `value` in hexadecimal floating-point notation, which is exact.
std::string FormatHexadecimal(double value) {
  std::array<char, 40> text{};
  std::snprintf(text.data(), text.size(), "%a", value);
  return text.data();
}

// The functions below append " key=value" to the line. A value that is empty
// or zero is left out.
void AppendText(const char* key, std::string_view value, std::string& line) {
  if (value.empty())
    return;
  line += std::string(" ") + key + "=" + std::string(value);
}

void AppendUnsigned(const char* key, std::uint64_t value, std::string& line) {
  if (value != 0)
    AppendText(key, std::to_string(value), line);
}

void AppendDouble(const char* key, double value, std::string& line) {
  if (value != 0)
    AppendText(key, FormatHexadecimal(value), line);
}

void AppendInputs(const health::DecisionInputs& inputs, std::string& line) {
  AppendDouble("outcome_score", inputs.outcome_score, line);
  AppendDouble("latency_score", inputs.latency_score, line);
  AppendDouble("threshold", inputs.threshold, line);
  AppendDouble("base_rate", inputs.base_rate, line);
  AppendDouble("reference_latency_us", inputs.reference_latency_us, line);
  AppendUnsigned("listed_slots", inputs.listed_slots, line);
  AppendUnsigned("remaining_slots", inputs.remaining_slots, line);
  AppendUnsigned("floor_slots", inputs.floor_slots, line);
  AppendUnsigned("observers", inputs.observers, line);
  AppendUnsigned("data_centres", inputs.data_centres, line);
  AppendUnsigned("duration_us",
                 static_cast<std::uint64_t>(inputs.duration.count()), line);
}

void AppendReport(const health::HealthReport& report, std::string& line) {
  AppendDouble("request_rate", report.request_rate, line);
  for (const health::ReportItem& item : report.items) {
    AppendText("item",
               item.upstream.value + "/" + std::to_string(item.failures) + "/" +
                   std::to_string(item.slow) +
                   (item.avoiding ? "/avoiding" : ""),
               line);
  }
  for (const health::ConnectionLoss& loss : report.losses) {
    AppendText("loss",
               loss.upstream.value + "/" + std::to_string(loss.fingerprint),
               line);
  }
}

void AppendEntries(const char* key,
                   const std::vector<health::LedgerEntry>& entries,
                   std::string& line) {
  for (const health::LedgerEntry& entry : entries) {
    AppendText(key,
               entry.upstream.value + "/" + std::to_string(entry.slots) + "/" +
                   std::to_string(entry.hold_down.count()) + "/" +
                   std::to_string(entry.sequence),
               line);
  }
}

}  // namespace

std::string FormatDecision(const health::Action& action) {
  std::string line(health::ToName(action.kind));
  AppendText("reason", health::ToName(action.reason), line);
  AppendText("upstream", action.upstream.value, line);
  AppendUnsigned("fingerprint", action.fingerprint, line);
  AppendInputs(action.inputs, line);
  AppendText("peer", action.peer.value, line);
  AppendReport(action.report, line);
  AppendUnsigned("version", action.ledger.version, line);
  AppendEntries("ejected", action.ledger.ejected, line);
  AppendEntries("removed", action.ledger.removed, line);
  return line;
}

}  // namespace poplarfork::replay
