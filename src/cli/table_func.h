#pragma once

#include <string>
#include <vector>

#include <cpprest/json.h>

namespace poplarfork::cli {

// The texts of one line of a table.
using Row = std::vector<std::string>;

// Returns the rows as lines whose columns are padded to the same width.
std::string FormatRows(const std::vector<Row>& rows);

// Formats a JSON value for people. An object becomes lines "key  value", with
// nested keys joined by dots. A list of objects becomes a table with one column
// per key. Any other value is printed as it is.
std::string FormatTable(const web::json::value& json);

}  // namespace poplarfork::cli
