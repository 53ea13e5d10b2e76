#pragma once

#include <string>
#include <string_view>

#include "base/result_type.h"
#include "fleet/member_type.h"

namespace poplarfork::gateway {

// Encodes a member as the JSON value that is written into the store.
std::string EncodeMember(const fleet::Member& member);

// Decodes a member from its value in the store. Fails with kMalformed if an
// address or the data centre is missing. A missing capacity gets the default.
base::Result<fleet::Member> DecodeMember(std::string_view value);

}  // namespace poplarfork::gateway
