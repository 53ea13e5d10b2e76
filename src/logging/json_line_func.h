#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace poplarfork::logging {

// The members of a log line, in the order in which they are written.
using Fields = nlohmann::ordered_json;

// Writes one JSON line with the time, the identity of this process, `event` and
// the members of `fields`.
void WriteJsonLine(std::string_view event, const Fields& fields);

}  // namespace poplarfork::logging
