#pragma once

#include <string>
#include <string_view>

#include <cpprest/json.h>

namespace poplarfork::logging {

// Configures the log. Lines go to standard output, and nothing is written to
// disk. `identity` (the address of the daemon or the name of the program) is a
// member of every line.
void StartLogging(std::string_view identity);

// Writes one JSON line with the time, the identity, `event` and the members of
// the object `fields`, and returns the line. Each routing decision and each
// placement decision is one line.
std::string WriteLogLine(std::string_view event, web::json::value fields);

}  // namespace poplarfork::logging
