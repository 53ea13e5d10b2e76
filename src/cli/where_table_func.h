#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace poplarfork::cli {

// Formats the response of a gateway to GET /where for people. A shard without
// explanation has the reason in its member `error`. Throws a
// nlohmann::ordered_json::exception if a member is missing or has another type.
std::string FormatWhereTable(const nlohmann::ordered_json& answer);

}  // namespace poplarfork::cli
