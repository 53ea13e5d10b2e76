#include "standin/upstream_fault_func.h"

#include <algorithm>
#include <array>
#include <chrono>

#include "base/error_func.h"
#include "base/rng_func.h"
#include "standin/json_func.h"

namespace poplarfork::standin {

namespace {

struct FaultKindName {
  const char* name;
  UpstreamFaultKind kind;
};

constexpr std::array<FaultKindName, 13> kFaultKindNames = {{
    {"slow", UpstreamFaultKind::kSlow},
    {"wrong", UpstreamFaultKind::kErrorStatus},
    {"partial", UpstreamFaultKind::kErrorStatus},
    {"cut_body", UpstreamFaultKind::kTruncatedBody},
    {"crossed", UpstreamFaultKind::kPreviousResponse},
    {"late", UpstreamFaultKind::kLateResponse},
    {"crash", UpstreamFaultKind::kCrash},
    {"hang", UpstreamFaultKind::kHang},
    {"one_way_silence", UpstreamFaultKind::kLostResponses},
    {"load_lie", UpstreamFaultKind::kFalseLoad},
    {"load_lag", UpstreamFaultKind::kLoadLag},
    {"health_lie", UpstreamFaultKind::kFalseHealth},
    {"health_lag", UpstreamFaultKind::kHealthLag},
}};

constexpr double kDefaultCrashSeconds = 2.0;

base::Duration ReadDuration(const web::json::value& command) {
  const double seconds = DoubleMember(command, "seconds", kDefaultCrashSeconds);
  const double milliseconds = DoubleMember(command, "ms", seconds * 1000);
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

}  // namespace

base::Result<UpstreamFault> ReadUpstreamFault(const web::json::value& command) {
  const std::string name = StringMember(command, "kind", "");
  const auto* const entry = std::find_if(
      kFaultKindNames.begin(), kFaultKindNames.end(),
      [&name](const FaultKindName& each) { return name == each.name; });
  if (entry == kFaultKindNames.end()) {
    return base::MakeError(base::ErrorCode::kUnsupported,
                           base::Step::kCommandLine, "",
                           "fault kind \"" + name + "\"");
  }
  UpstreamFault fault;
  fault.kind = entry->kind;
  fault.probability = DoubleMember(command, "probability", fault.probability);
  fault.remaining_count = Uint64Member(command, "count", fault.remaining_count);
  fault.path_prefix = StringMember(command, "path", "");
  fault.duration = ReadDuration(command);
  fault.status = static_cast<unsigned>(Uint64Member(command, "status", 500));
  fault.reported_load = DoubleMember(command, "load", 0.0);
  fault.crash_header = StringMember(command, "header", "");
  fault.crash_header_value = StringMember(command, "value", "");
  fault.has_own_request_id =
      StringMember(command, "with_id", "previous") == "own";
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

std::optional<UpstreamFault> TriggerFault(UpstreamState& state,
                                          UpstreamFaultKind kind,
                                          const std::string& target) {
  for (UpstreamFault& fault : state.faults) {
    if (fault.kind != kind || fault.remaining_count == 0)
      continue;
    if (!target.starts_with(fault.path_prefix))
      continue;
    if (base::Uniform01(state.rng) >= fault.probability)
      continue;
    fault.remaining_count -= 1;
    return fault;
  }
  return std::nullopt;
}

}  // namespace poplarfork::standin
