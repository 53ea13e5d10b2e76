#include "standin/vm_list_state_func.h"

#include <chrono>
#include <utility>

#include "base/error_func.h"
#include "standin/json_func.h"

namespace poplarfork::standin {

namespace {

using web::json::value;

base::Error MakeVmListError(base::ErrorCode code, const std::string& detail) {
  return base::MakeError(code, base::Step::kVmListCall, "", detail);
}

base::Result<VmEntry> ReadVmEntry(const value& json) {
  VmEntry entry;
  entry.address = StringMember(json, "address", "");
  entry.data_centre = StringMember(json, "data_centre", "");
  const std::string state = StringMember(json, "state", "live");
  if (entry.address.empty() || (state != "live" && state != "leaving")) {
    return MakeVmListError(
        base::ErrorCode::kMalformed,
        "entry " + json.serialize() +
            " must have an address and the state live or leaving");
  }
  entry.state = state == "live" ? VmState::kLive : VmState::kLeaving;
  return entry;
}

}  // namespace

base::Result<std::vector<VmEntry>> ReadVmEntries(const std::string& text) {
  std::error_code error;
  const value json = value::parse(text, error);
  if (error || !json.is_array()) {
    return MakeVmListError(base::ErrorCode::kMalformed,
                           "expected a JSON array");
  }
  std::vector<VmEntry> entries;
  for (const value& item : json.as_array()) {
    BOOST_OUTCOME_TRY(entry, ReadVmEntry(item));
    entries.push_back(std::move(entry));
  }
  return entries;
}

void SetVmEntries(VmListState& state,
                  std::vector<VmEntry> entries,
                  base::TimePoint now) {
  state.versions.push_back(VmListVersion{now, std::move(entries)});
}

std::vector<VmEntry> VisibleVmEntries(VmListState& state, base::TimePoint now) {
  auto& versions = state.versions;
  while (versions.size() > 1 && versions[1].set_at + state.lag <= now)
    versions.pop_front();
  const bool is_visible =
      !versions.empty() && versions.front().set_at + state.lag <= now;
  return is_visible ? versions.front().entries : std::vector<VmEntry>{};
}

value VmEntriesJson(const std::vector<VmEntry>& entries) {
  std::vector<value> list;
  for (const VmEntry& entry : entries) {
    value json = value::object();
    json["address"] = value::string(entry.address);
    json["data_centre"] = value::string(entry.data_centre);
    json["state"] =
        value::string(entry.state == VmState::kLive ? "live" : "leaving");
    list.push_back(std::move(json));
  }
  return value::array(std::move(list));
}

base::Result<void> ApplyVmListFault(VmListState& state, const value& command) {
  const std::string kind = StringMember(command, "kind", "");
  const std::chrono::milliseconds duration(Uint64Member(command, "ms", 0));
  if (kind == "lag") {
    state.lag = duration;
  } else if (kind == "slow") {
    state.reply_delay = duration;
  } else if (kind == "down") {
    state.is_down = true;
  } else if (kind == "none") {
    state.lag = {};
    state.reply_delay = {};
    state.is_down = false;
  } else {
    return MakeVmListError(base::ErrorCode::kUnsupported,
                           "fault kind \"" + kind + "\"");
  }
  return boost::outcome_v2::success();
}

}  // namespace poplarfork::standin
