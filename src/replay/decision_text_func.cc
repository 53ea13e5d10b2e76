#include "replay/decision_text_func.h"

#include <array>
#include <cstdint>
#include <cstdio>
#include <string_view>

#include "health/name_func.h"

namespace poplarfork::replay {

namespace {

// Returns `value` in hexadecimal floating-point notation, which is exact.
std::string Hexadecimal(double value) {
  std::array<char, 40> text{};
  std::snprintf(text.data(), text.size(), "%a", value);
  return text.data();
}

// The functions below append " key=value" to the line. A value that is empty
// or zero is left out.
void AddText(const char* key, std::string_view value, std::string& line) {
  if (value.empty())
    return;
  line += std::string(" ") + key + "=" + std::string(value);
}

void AddNumber(const char* key, std::uint64_t value, std::string& line) {
  if (value != 0)
    AddText(key, std::to_string(value), line);
}

void AddReal(const char* key, double value, std::string& line) {
  if (value != 0)
    AddText(key, Hexadecimal(value), line);
}

void AddInputs(const health::DecisionInputs& inputs, std::string& line) {
  AddReal("outcome_score", inputs.outcome_score, line);
  AddReal("latency_score", inputs.latency_score, line);
  AddReal("threshold", inputs.threshold, line);
  AddReal("base_rate", inputs.base_rate, line);
  AddReal("reference_latency_us", inputs.reference_latency_us, line);
  AddNumber("listed_slots", inputs.listed_slots, line);
  AddNumber("remaining_slots", inputs.remaining_slots, line);
  AddNumber("floor_slots", inputs.floor_slots, line);
  AddNumber("observers", inputs.observers, line);
  AddNumber("data_centres", inputs.data_centres, line);
  AddNumber("duration_us", static_cast<std::uint64_t>(inputs.duration.count()),
            line);
}

void AddReport(const health::HealthReport& report, std::string& line) {
  AddReal("request_rate", report.request_rate, line);
  for (const health::ReportItem& item : report.items) {
    AddText("item",
            item.upstream.value + "/" + std::to_string(item.failures) + "/" +
                std::to_string(item.slow) + (item.avoiding ? "/avoiding" : ""),
            line);
  }
  for (const health::ConnectionLoss& loss : report.losses) {
    AddText("loss",
            loss.upstream.value + "/" + std::to_string(loss.fingerprint), line);
  }
}

void AddEntries(const char* key,
                const std::vector<health::LedgerEntry>& entries,
                std::string& line) {
  for (const health::LedgerEntry& entry : entries) {
    AddText(key,
            entry.upstream.value + "/" + std::to_string(entry.slots) + "/" +
                std::to_string(entry.hold_down.count()) + "/" +
                std::to_string(entry.sequence),
            line);
  }
}

}  // namespace

std::string DecisionText(const health::Action& action) {
  std::string line(health::NameOf(action.kind));
  AddText("reason", health::NameOf(action.reason), line);
  AddText("upstream", action.upstream.value, line);
  AddNumber("fingerprint", action.fingerprint, line);
  AddInputs(action.inputs, line);
  AddText("peer", action.peer.value, line);
  AddReport(action.report, line);
  AddNumber("version", action.ledger.version, line);
  AddEntries("ejected", action.ledger.ejected, line);
  AddEntries("removed", action.ledger.removed, line);
  return line;
}

}  // namespace poplarfork::replay
