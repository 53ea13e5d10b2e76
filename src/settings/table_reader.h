#pragma once

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>
#include <string>

#include "base/error_func.h"
#include "base/result_type.h"
#include "settings/entry_type.h"
#include "settings/text_format_func.h"

// Functions that read a YAML file into the members of a settings type as its
// entry tables describe.
namespace poplarfork::settings::reader {

// The file and line of an entry, for error messages.
struct SourceLocation {
  std::string file_name;
  int line;
};

inline std::string FormatLocation(const SourceLocation& location) {
  return location.file_name + ":" + std::to_string(location.line);
}

inline base::Error MakeSettingsError(base::ErrorCode code,
                                     const SourceLocation& location,
                                     const std::string& key,
                                     const std::string& reason) {
  return base::MakeError(code, base::Step::kLoadSettings,
                         FormatLocation(location), key + ": " + reason);
}

template <class T>
std::string DescribeAcceptedRange(const IntegerEntry<T>& entry) {
  return "expected a whole number from " + std::to_string(entry.minimum) +
         " to " + std::to_string(entry.maximum) +
         (*entry.unit ? std::string(" ") + entry.unit : "");
}

template <class T>
std::optional<base::Error> ReadInteger(const IntegerEntry<T>& entry,
                                       const YAML::Node& node,
                                       const SourceLocation& location,
                                       T& settings) {
  std::int64_t value = 0;
  if (!YAML::convert<std::int64_t>::decode(node, value))
    return MakeSettingsError(base::ErrorCode::kWrongType, location, entry.key,
                             DescribeAcceptedRange(entry));
  if (value < entry.minimum || value > entry.maximum)
    return MakeSettingsError(base::ErrorCode::kOutOfRange, location, entry.key,
                             DescribeAcceptedRange(entry));
  settings.*entry.member = value;
  return std::nullopt;
}

template <class T>
std::optional<base::Error> ReadText(const TextEntry<T>& entry,
                                    const YAML::Node& node,
                                    const SourceLocation& location,
                                    T& settings) {
  if (!node.IsScalar())
    return MakeSettingsError(base::ErrorCode::kWrongType, location, entry.key,
                             DescribeAcceptedFormat(entry.format));
  if (!MatchesFormat(node.Scalar(), entry.format))
    return MakeSettingsError(base::ErrorCode::kOutOfRange, location, entry.key,
                             DescribeAcceptedFormat(entry.format));
  settings.*entry.member = node.Scalar();
  return std::nullopt;
}

template <class T>
std::optional<base::Error> ReadList(const ListEntry<T>& entry,
                                    const YAML::Node& node,
                                    const SourceLocation& location,
                                    T& settings) {
  const std::string accepted =
      "expected a list of IP:port with numeric IP addresses";
  if (!node.IsSequence())
    return MakeSettingsError(base::ErrorCode::kWrongType, location, entry.key,
                             accepted);
  for (const YAML::Node& item : node) {
    const SourceLocation item_location{location.file_name,
                                       item.Mark().line + 1};
    if (!item.IsScalar() ||
        !MatchesFormat(item.Scalar(), TextFormat::kEndpoint))
      return MakeSettingsError(base::ErrorCode::kWrongType, item_location,
                               entry.key, accepted);
    (settings.*entry.member).push_back(item.Scalar());
  }
  return std::nullopt;
}

template <class T>
std::optional<base::Error> ReadDecimal(const DecimalEntry<T>& entry,
                                       const YAML::Node& node,
                                       const SourceLocation& location,
                                       T& settings) {
  std::ostringstream accepted;
  accepted << "expected a number from " << entry.minimum << " to "
           << entry.maximum;
  double value = 0;
  if (!YAML::convert<double>::decode(node, value))
    return MakeSettingsError(base::ErrorCode::kWrongType, location, entry.key,
                             accepted.str());
  if (!(value >= entry.minimum && value <= entry.maximum))
    return MakeSettingsError(base::ErrorCode::kOutOfRange, location, entry.key,
                             accepted.str());
  settings.*entry.member = value;
  return std::nullopt;
}

template <class T>
std::optional<base::Error> ReadBoolean(const BooleanEntry<T>& entry,
                                       const YAML::Node& node,
                                       const SourceLocation& location,
                                       T& settings) {
  bool value = node.IsScalar() && node.Scalar() == "1";
  const bool is_digit = value || (node.IsScalar() && node.Scalar() == "0");
  if (!is_digit && !YAML::convert<bool>::decode(node, value))
    return MakeSettingsError(base::ErrorCode::kWrongType, location, entry.key,
                             "expected true or false");
  settings.*entry.member = value;
  return std::nullopt;
}

template <class T>
std::optional<base::Error> ReadDuration(const DurationEntry<T>& entry,
                                        const YAML::Node& node,
                                        const SourceLocation& location,
                                        T& settings) {
  const auto to_milliseconds_text = [](base::Duration duration) {
    return std::to_string(duration.count() / 1000) + "ms";
  };
  const std::string accepted = "expected a duration from " +
                               to_milliseconds_text(entry.minimum) + " to " +
                               to_milliseconds_text(entry.maximum);
  const auto value =
      node.IsScalar() ? ParseDuration(node.Scalar()) : std::nullopt;
  if (!value)
    return MakeSettingsError(base::ErrorCode::kWrongType, location, entry.key,
                             accepted);
  if (*value < entry.minimum || *value > entry.maximum)
    return MakeSettingsError(base::ErrorCode::kOutOfRange, location, entry.key,
                             accepted);
  settings.*entry.member = *value;
  return std::nullopt;
}

template <class Entry>
const Entry* FindEntry(std::span<const Entry> entries, const std::string& key) {
  const auto found =
      std::find_if(entries.begin(), entries.end(),
                   [&key](const Entry& entry) { return key == entry.key; });
  return found == entries.end() ? nullptr : &*found;
}

// Reads the value of one key with the table that contains the key.
template <class T>
std::optional<base::Error> ReadEntry(const EntryTables<T>& tables,
                                     const std::string& key,
                                     const YAML::Node& node,
                                     const SourceLocation& location,
                                     T& settings) {
  if (const auto* entry = FindEntry(tables.integers, key))
    return ReadInteger(*entry, node, location, settings);
  if (const auto* entry = FindEntry(tables.decimals, key))
    return ReadDecimal(*entry, node, location, settings);
  if (const auto* entry = FindEntry(tables.durations, key))
    return ReadDuration(*entry, node, location, settings);
  if (const auto* entry = FindEntry(tables.texts, key))
    return ReadText(*entry, node, location, settings);
  if (const auto* entry = FindEntry(tables.lists, key))
    return ReadList(*entry, node, location, settings);
  if (const auto* entry = FindEntry(tables.booleans, key))
    return ReadBoolean(*entry, node, location, settings);
  return MakeSettingsError(base::ErrorCode::kUnknownKey, location, key,
                           std::string("the accepted keys are listed in ") +
                               tables.documentation_page);
}

// Sets all default values, then reads the entries of the file and checks that
// every required entry is present.
template <class T>
base::Result<T> ParseRoot(const EntryTables<T>& tables,
                          const YAML::Node& root,
                          const std::string& file_name) {
  T settings;
  for (const auto& entry : tables.integers)
    settings.*entry.member = entry.default_value;
  for (const auto& entry : tables.decimals)
    settings.*entry.member = entry.default_value;
  for (const auto& entry : tables.durations)
    settings.*entry.member = entry.default_value;
  for (const auto& entry : tables.booleans)
    settings.*entry.member = false;
  if (!root.IsMap())
    return MakeSettingsError(base::ErrorCode::kWrongType,
                             SourceLocation{file_name, 1}, "(file)",
                             "expected a YAML map");
  std::set<std::string> seen_keys;
  for (const auto& pair : root) {
    const std::string key = pair.first.Scalar();
    const SourceLocation location{file_name, pair.first.Mark().line + 1};
    if (!seen_keys.insert(key).second)
      return MakeSettingsError(base::ErrorCode::kConflict, location, key,
                               "the key appears twice");
    if (auto error = ReadEntry(tables, key, pair.second, location, settings))
      return *error;
  }
  for (const auto& entry : tables.texts) {
    if (entry.is_required && !seen_keys.contains(entry.key))
      return MakeSettingsError(base::ErrorCode::kMissing,
                               SourceLocation{file_name, 1}, entry.key,
                               DescribeAcceptedFormat(entry.format));
  }
  return settings;
}

// Parses settings in YAML. An error names `file_name`, the line, the key and
// the values that are accepted. Only the first error is returned.
template <class T>
base::Result<T> ParseText(const EntryTables<T>& tables,
                          const std::string& text,
                          const std::string& file_name) {
  try {
    return ParseRoot(tables, YAML::Load(text), file_name);
  } catch (const YAML::Exception& exception) {
    return MakeSettingsError(base::ErrorCode::kMalformed,
                             SourceLocation{file_name, exception.mark.line + 1},
                             "(file)", exception.msg);
  }
}

// Reads and parses the settings file at `path`.
template <class T>
base::Result<T> LoadFile(const EntryTables<T>& tables,
                         const std::string& path) {
  std::ifstream file(path);
  if (!file)
    return base::MakeError(base::ErrorCode::kMissing, base::Step::kLoadSettings,
                           path, "the file cannot be opened");
  std::ostringstream text;
  text << file.rdbuf();
  return ParseText(tables, text.str(), path);
}

}  // namespace poplarfork::settings::reader
