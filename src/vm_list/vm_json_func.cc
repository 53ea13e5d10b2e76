#include "vm_list/vm_json_func.h"

#include <system_error>
#include <utility>

#include <cpprest/json.h>

#include "base/error_func.h"

namespace poplarfork::vm_list {

namespace {

using web::json::value;

base::Error MakeMalformedError(const std::string& detail) {
  return base::MakeError(base::ErrorCode::kMalformed, base::Step::kVmListCall,
                         "", detail);
}

std::string GetStringMember(const value& json, const std::string& name) {
  if (!json.is_object() || !json.has_string_field(name))
    return "";
  return json.at(name).as_string();
}

base::Result<Vm> ParseVm(const value& json) {
  Vm vm;
  vm.address = GetStringMember(json, "address");
  vm.data_centre.value = GetStringMember(json, "data_centre");
  const std::string state = GetStringMember(json, "state");
  const bool is_leaving = state == "leaving";
  if (vm.address.empty() || (state != "live" && !is_leaving)) {
    return MakeMalformedError(
        "entry " + json.serialize() +
        ": expected an address and the state live or leaving");
  }
  vm.state = is_leaving ? VmState::kLeaving : VmState::kLive;
  return vm;
}

}  // namespace

base::Result<std::vector<Vm>> ParseVms(const std::string& text) {
  std::error_code error;
  const value json = value::parse(text, error);
  if (error || !json.is_array())
    return MakeMalformedError("expected a JSON array");
  std::vector<Vm> vms;
  for (const value& entry : json.as_array()) {
    BOOST_OUTCOME_TRY(vm, ParseVm(entry));
    vms.push_back(std::move(vm));
  }
  return vms;
}

}  // namespace poplarfork::vm_list
