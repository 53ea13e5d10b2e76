#include "standin/store_fault_func.h"

#include <array>
#include <chrono>
#include <string>

#include "base/error_func.h"
#include "standin/json_func.h"
#include "standin/store_state_func.h"

namespace poplarfork::standin {

namespace {

using web::json::value;
using Apply = base::Result<void> (*)(StoreFaults&, StoreState&, const value&);

base::Error Unsupported(const std::string& detail) {
  return base::MakeError(base::ErrorCode::kUnsupported, base::Step::kStoreCall,
                         "", detail);
}

base::Result<NoAnswerMode> ReadMode(const value& command) {
  const std::string mode = TextMember(command, "mode", "close");
  if (mode == "close")
    return NoAnswerMode::kClose;
  if (mode == "hang")
    return NoAnswerMode::kHang;
  return Unsupported("mode " + mode + "; expected close or hang");
}

base::Result<void> ApplyNone(StoreFaults& faults,
                             StoreState& /*state*/,
                             const value& /*command*/) {
  faults = StoreFaults{};
  return boost::outcome_v2::success();
}

base::Result<void> ApplyDown(StoreFaults& faults,
                             StoreState& /*state*/,
                             const value& command) {
  BOOST_OUTCOME_TRY(down_mode, ReadMode(command));
  faults.down_mode = down_mode;
  faults.is_down = true;
  return boost::outcome_v2::success();
}

base::Result<void> ApplySlow(StoreFaults& faults,
                             StoreState& /*state*/,
                             const value& command) {
  faults.slow = std::chrono::milliseconds(CountMember(command, "ms", 0));
  return boost::outcome_v2::success();
}

base::Result<void> ApplyLoseReply(StoreFaults& faults,
                                  StoreState& /*state*/,
                                  const value& command) {
  BOOST_OUTCOME_TRY(lost_mode, ReadMode(command));
  faults.lost_mode = lost_mode;
  faults.lost_replies = CountMember(command, "count", 1);
  return boost::outcome_v2::success();
}

base::Result<void> ApplyExpireLeases(StoreFaults& /*faults*/,
                                     StoreState& state,
                                     const value& /*command*/) {
  ExpireAllLeases(state);
  return boost::outcome_v2::success();
}

struct FaultKind {
  const char* name;
  Apply apply;
};

constexpr std::array<FaultKind, 5> kFaultKinds = {{
    {"none", ApplyNone},
    {"down", ApplyDown},
    {"slow", ApplySlow},
    {"lose_reply", ApplyLoseReply},
    {"expire_leases", ApplyExpireLeases},
}};

}  // namespace

base::Result<void> ApplyStoreFault(StoreFaults& faults,
                                   StoreState& state,
                                   const value& command) {
  const std::string kind = TextMember(command, "kind", "");
  for (const FaultKind& entry : kFaultKinds) {
    if (kind == entry.name)
      return entry.apply(faults, state, command);
  }
  return Unsupported("fault kind \"" + kind + "\"");
}

bool TakeLostReply(StoreFaults& faults) {
  if (faults.lost_replies == 0)
    return false;
  faults.lost_replies -= 1;
  return true;
}

value CountsJson(const StoreCounts& counts,
                 std::uint64_t open_watches,
                 const StoreState& state) {
  value json = value::object();
  json["range"] = value::number(counts.range);
  json["put"] = value::number(counts.put);
  json["txn"] = value::number(counts.txn);
  json["deleterange"] = value::number(counts.deleterange);
  json["lease_grant"] = value::number(counts.lease_grant);
  json["lease_keepalive"] = value::number(counts.lease_keepalive);
  json["lease_revoke"] = value::number(counts.lease_revoke);
  json["watch"] = value::number(counts.watch);
  json["refused"] = value::number(counts.refused);
  json["lost_replies"] = value::number(counts.lost_replies);
  json["open_watches"] = value::number(open_watches);
  json["keys"] = value::number(std::uint64_t{state.values.size()});
  json["revision"] = value::number(state.revision);
  return json;
}

}  // namespace poplarfork::standin
