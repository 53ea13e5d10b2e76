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
using ApplyFunction = base::Result<void> (*)(StoreFaults&,
                                             StoreState&,
                                             const value&);

base::Error MakeUnsupportedError(const std::string& detail) {
  return base::MakeError(base::ErrorCode::kUnsupported, base::Step::kStoreCall,
                         "", detail);
}

base::Result<NoReplyMode> ReadNoReplyMode(const value& command) {
  const std::string mode = StringMember(command, "mode", "close");
  if (mode == "close")
    return NoReplyMode::kClose;
  if (mode == "hang")
    return NoReplyMode::kHang;
  return MakeUnsupportedError("mode " + mode + "; expected close or hang");
}

base::Result<void> ClearFaults(StoreFaults& faults,
                               StoreState& /*state*/,
                               const value& /*command*/) {
  faults = StoreFaults{};
  return boost::outcome_v2::success();
}

base::Result<void> ApplyDown(StoreFaults& faults,
                             StoreState& /*state*/,
                             const value& command) {
  BOOST_OUTCOME_TRY(down_mode, ReadNoReplyMode(command));
  faults.down_mode = down_mode;
  faults.is_down = true;
  return boost::outcome_v2::success();
}

base::Result<void> ApplySlow(StoreFaults& faults,
                             StoreState& /*state*/,
                             const value& command) {
  faults.reply_delay =
      std::chrono::milliseconds(Uint64Member(command, "ms", 0));
  return boost::outcome_v2::success();
}

base::Result<void> ApplyLoseReply(StoreFaults& faults,
                                  StoreState& /*state*/,
                                  const value& command) {
  BOOST_OUTCOME_TRY(lost_mode, ReadNoReplyMode(command));
  faults.lost_reply_mode = lost_mode;
  faults.replies_to_lose = Uint64Member(command, "count", 1);
  return boost::outcome_v2::success();
}

base::Result<void> ApplyExpireLeases(StoreFaults& /*faults*/,
                                     StoreState& state,
                                     const value& /*command*/) {
  ExpireAllLeases(state);
  return boost::outcome_v2::success();
}

struct FaultCommand {
  const char* name;
  ApplyFunction apply;
};

constexpr std::array<FaultCommand, 5> kFaultCommands = {{
    {"none", ClearFaults},
    {"down", ApplyDown},
    {"slow", ApplySlow},
    {"lose_reply", ApplyLoseReply},
    {"expire_leases", ApplyExpireLeases},
}};

}  // namespace

base::Result<void> ApplyStoreFault(StoreFaults& faults,
                                   StoreState& state,
                                   const value& command) {
  const std::string kind = StringMember(command, "kind", "");
  for (const FaultCommand& entry : kFaultCommands) {
    if (kind == entry.name)
      return entry.apply(faults, state, command);
  }
  return MakeUnsupportedError("fault kind \"" + kind + "\"");
}

bool ConsumeReplyLoss(StoreFaults& faults) {
  if (faults.replies_to_lose == 0)
    return false;
  faults.replies_to_lose -= 1;
  return true;
}

value StoreCountsJson(const StoreCounts& counts,
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
