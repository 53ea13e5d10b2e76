#include "replay/fault_func.h"

#include <array>

namespace poplarfork::replay {

namespace {

struct FaultName {
  FaultKind kind;
  std::string_view name;
};

constexpr std::array<FaultName, 10> kFaultNames = {{
    {FaultKind::kNone, "none"},
    {FaultKind::kSlow, "slow"},
    {FaultKind::kInvalidResponses, "wrong_answers"},
    {FaultKind::kPartialFailure, "partial_failure"},
    {FaultKind::kHang, "hang"},
    {FaultKind::kFlapping, "flapping"},
    {FaultKind::kMisleadingHealthEndpoint, "lying_health_endpoint"},
    {FaultKind::kOneWayPartition, "one_way_partition"},
    {FaultKind::kOverload, "overload"},
    {FaultKind::kPausedObserver, "paused_observer"},
}};

}  // namespace

std::string_view ToName(FaultKind kind) {
  for (const FaultName& entry : kFaultNames) {
    if (entry.kind == kind)
      return entry.name;
  }
  return "unknown";
}

std::optional<FaultKind> ParseFaultKind(std::string_view name) {
  for (const FaultName& entry : kFaultNames) {
    if (entry.name == name)
      return entry.kind;
  }
  return std::nullopt;
}

std::vector<FaultKind> AllFaultKinds() {
  std::vector<FaultKind> faults;
  faults.reserve(kFaultNames.size());
  for (const FaultName& entry : kFaultNames)
    faults.push_back(entry.kind);
  return faults;
}

}  // namespace poplarfork::replay
