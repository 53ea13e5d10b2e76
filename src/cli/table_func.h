#pragma once

#include <string>

#include <cpprest/json.h>

namespace poplarfork::cli {

// Formats a JSON value for people. An object becomes lines "key  value", with
// nested keys joined by dots. A list of objects becomes a table with one column
// per key. Any other value is printed as it is.
std::string FormatTable(const web::json::value& json);

}  // namespace poplarfork::cli
