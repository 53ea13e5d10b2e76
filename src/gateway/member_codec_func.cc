#include "gateway/member_codec_func.h"

#include <nlohmann/json.hpp>

#include "base/error_func.h"
#include "fleet/view_func.h"

namespace poplarfork::gateway {

namespace {

using Json = nlohmann::ordered_json;

// Copies the text member `name` of `json` to `text`. Returns whether it is
// there and not empty.
bool ReadString(const Json& json, const char* name, std::string& text) {
  const auto found = json.find(name);
  if (found == json.end() || !found->is_string())
    return false;
  text = found->get<std::string>();
  return !text.empty();
}

}  // namespace

std::string EncodeMember(const fleet::Member& member) {
  return Json{{"peer_address", member.id.value},
              {"front_address", member.front_address},
              {"control_address", member.control_address},
              {"data_centre", member.data_centre.value},
              {"capacity", member.capacity}}
      .dump();
}

base::Result<fleet::Member> DecodeMember(std::string_view value) {
  const Json json = Json::parse(value, nullptr, false);
  fleet::Member member;
  const bool valid =
      json.is_object() && ReadString(json, "peer_address", member.id.value) &&
      ReadString(json, "front_address", member.front_address) &&
      ReadString(json, "control_address", member.control_address) &&
      ReadString(json, "data_centre", member.data_centre.value);
  if (!valid)
    return base::MakeError(base::ErrorCode::kMalformed, base::Step::kStoreCall,
                           "member", "an address or data centre is missing");
  const auto capacity = json.find("capacity");
  if (capacity != json.end() && capacity->is_number())
    member.capacity = fleet::ClampCapacity(capacity->get<double>());
  return member;
}

}  // namespace poplarfork::gateway
