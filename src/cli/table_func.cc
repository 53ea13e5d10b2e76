#include "cli/table_func.h"

#include <algorithm>
#include <map>
#include <set>
#include <vector>

namespace poplarfork::cli {

namespace {

using web::json::value;

constexpr std::size_t kColumnGap = 2;

bool IsListOfObjects(const value& list) {
  return list.is_array() && list.size() > 0 &&
         std::ranges::all_of(list.as_array(), [](const value& element) {
           return element.is_object();
         });
}

std::string FormatCell(const value& cell) {
  if (cell.is_string())
    return cell.as_string();
  return cell.is_null() ? std::string() : cell.serialize();
}

std::string PadRight(std::string text, std::size_t width) {
  text.resize(std::max(text.size(), width), ' ');
  return text;
}

std::string FormatListTable(const value& list) {
  std::set<std::string> keys;
  for (const value& element : list.as_array()) {
    for (const auto& [key, cell] : element.as_object())
      keys.insert(key);
  }
  std::vector<Row> rows;
  rows.emplace_back(keys.begin(), keys.end());
  for (const value& element : list.as_array()) {
    Row row;
    for (const std::string& key : keys) {
      const bool present = element.has_field(key);
      row.push_back(present ? FormatCell(element.at(key)) : std::string());
    }
    rows.push_back(row);
  }
  return FormatRows(rows);
}

// Adds one row for each value in `object` and its nested objects, with the
// joined keys as its name. Lists of objects are appended to `list_tables` as
// tables of their own.
void FlattenObject(const value& object,
                   const std::string& prefix,
                   std::vector<Row>& rows,
                   std::string& list_tables) {
  for (const auto& [key, cell] : object.as_object()) {
    const std::string name = prefix + key;
    if (cell.is_object())
      FlattenObject(cell, name + ".", rows, list_tables);
    else if (IsListOfObjects(cell))
      list_tables += "\n" + name + "\n" + FormatListTable(cell);
    else
      rows.push_back(Row{name, FormatCell(cell)});
  }
}

}  // namespace

std::string FormatRows(const std::vector<Row>& rows) {
  std::vector<std::size_t> widths;
  for (const Row& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i)
      widths[i] = std::max(widths[i], row[i].size());
  }
  std::string text;
  for (const Row& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i)
      line += PadRight(row[i], widths[i] + kColumnGap);
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

std::string FormatTable(const value& json) {
  if (IsListOfObjects(json))
    return FormatListTable(json);
  if (!json.is_object())
    return FormatCell(json) + "\n";
  std::vector<Row> rows;
  std::string list_tables;
  FlattenObject(json, "", rows, list_tables);
  return FormatRows(rows) + list_tables;
}

}  // namespace poplarfork::cli
