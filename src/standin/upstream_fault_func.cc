#include "standin/upstream_fault_func.h"

#include <algorithm>
#include <array>
#include <chrono>

#include "base/error_func.h"
#include "base/rng_func.h"
#include "standin/json_func.h"

namespace poplarfork::standin {

namespace {

struct KindName {
  const char* name;
  UpstreamFaultKind kind;
};

constexpr std::array<KindName, 13> kKindNames = {{
    {"slow", UpstreamFaultKind::kSlow},
    {"wrong", UpstreamFaultKind::kWrong},
    {"partial", UpstreamFaultKind::kWrong},
    {"cut_body", UpstreamFaultKind::kCutBody},
    {"crossed", UpstreamFaultKind::kCrossed},
    {"late", UpstreamFaultKind::kLate},
    {"crash", UpstreamFaultKind::kCrash},
    {"hang", UpstreamFaultKind::kHang},
    {"one_way_silence", UpstreamFaultKind::kOneWaySilence},
    {"load_lie", UpstreamFaultKind::kLoadLie},
    {"load_lag", UpstreamFaultKind::kLoadLag},
    {"health_lie", UpstreamFaultKind::kHealthLie},
    {"health_lag", UpstreamFaultKind::kHealthLag},
}};

constexpr double kDefaultCrashSeconds = 2.0;

base::Duration ReadDuration(const web::json::value& command) {
  const double seconds = NumberMember(command, "seconds", kDefaultCrashSeconds);
  const double milliseconds = NumberMember(command, "ms", seconds * 1000);
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

}  // namespace

base::Result<UpstreamFault> ReadUpstreamFault(const web::json::value& command) {
  const std::string name = TextMember(command, "kind", "");
  const auto* const entry =
      std::find_if(kKindNames.begin(), kKindNames.end(),
                   [&name](const KindName& each) { return name == each.name; });
  if (entry == kKindNames.end()) {
    return base::MakeError(base::ErrorCode::kUnsupported,
                           base::Step::kCommandLine, "",
                           "fault kind \"" + name + "\"");
  }
  UpstreamFault fault;
  fault.kind = entry->kind;
  fault.probability = NumberMember(command, "probability", fault.probability);
  fault.remaining = CountMember(command, "count", fault.remaining);
  fault.path_prefix = TextMember(command, "path", "");
  fault.duration = ReadDuration(command);
  fault.status = static_cast<unsigned>(CountMember(command, "status", 500));
  fault.load = NumberMember(command, "load", 0.0);
  fault.header = TextMember(command, "header", "");
  fault.header_value = TextMember(command, "value", "");
  fault.has_own_id = TextMember(command, "with_id", "previous") == "own";
  return fault;
}

void AddFault(UpstreamState& state, const UpstreamFault& fault) {
  std::erase_if(state.faults, [&fault](const UpstreamFault& each) {
    return each.kind == fault.kind;
  });
  state.faults.push_back(fault);
}

std::optional<UpstreamFault> FindFault(const UpstreamState& state,
                                       UpstreamFaultKind kind) {
  for (const UpstreamFault& fault : state.faults) {
    if (fault.kind == kind)
      return fault;
  }
  return std::nullopt;
}

std::optional<UpstreamFault> TakeFault(UpstreamState& state,
                                       UpstreamFaultKind kind,
                                       const std::string& target) {
  for (UpstreamFault& fault : state.faults) {
    if (fault.kind != kind || fault.remaining == 0)
      continue;
    if (!target.starts_with(fault.path_prefix))
      continue;
    if (base::Uniform01(state.rng) >= fault.probability)
      continue;
    fault.remaining -= 1;
    return fault;
  }
  return std::nullopt;
}

}  // namespace poplarfork::standin
