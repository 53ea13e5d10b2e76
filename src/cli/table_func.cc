#include "cli/table_func.h"

#include <algorithm>
#include <map>
#include <set>
#include <vector>

namespace poplarfork::cli {

namespace {

using web::json::value;

constexpr std::size_t kColumnGap = 2;

using Row = std::vector<std::string>;

bool IsListOfObjects(const value& list) {
  return list.is_array() && list.size() > 0 &&
         std::ranges::all_of(list.as_array(), [](const value& element) {
           return element.is_object();
         });
}

std::string CellText(const value& cell) {
  if (cell.is_string())
    return cell.as_string();
  return cell.is_null() ? std::string() : cell.serialize();
}

std::string Padded(std::string text, std::size_t width) {
  text.resize(std::max(text.size(), width), ' ');
  return text;
}

// Returns the rows as lines whose columns are padded to the same width.
std::string Layout(const std::vector<Row>& rows) {
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
      line += Padded(row[i], widths[i] + kColumnGap);
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

std::string ListTable(const value& list) {
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
      row.push_back(present ? CellText(element.at(key)) : std::string());
    }
    rows.push_back(row);
  }
  return Layout(rows);
}

// Adds one row for each value in `object` and its nested objects, with the
// joined keys as its name. Lists of objects are appended to `list_tables` as
// tables of their own.
void Flatten(const value& object,
             const std::string& prefix,
             std::vector<Row>& rows,
             std::string& lists) {
  for (const auto& [key, cell] : object.as_object()) {
    const std::string name = prefix + key;
    if (cell.is_object())
      Flatten(cell, name + ".", rows, lists);
    else if (IsListOfObjects(cell))
      lists += "\n" + name + "\n" + ListTable(cell);
    else
      rows.push_back(Row{name, CellText(cell)});
  }
}

}  // namespace

std::string ToTable(const value& json) {
  if (IsListOfObjects(json))
    return ListTable(json);
  if (!json.is_object())
    return CellText(json) + "\n";
  std::vector<Row> rows;
  std::string lists;
  Flatten(json, "", rows, lists);
  return Layout(rows) + lists;
}

}  // namespace poplarfork::cli
