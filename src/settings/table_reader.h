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
#include "settings/text_form_func.h"

// Functions that read a YAML file into the members of a settings type as its
// entry tables describe.
namespace poplarfork::settings::reader {

// The file and line of an entry, for error messages.
struct Place {
  std::string file_name;
  int line;
};

inline std::string PlaceText(const Place& place) {
  return place.file_name + ":" + std::to_string(place.line);
}

inline base::Error Fail(base::ErrorCode code,
                        const Place& place,
                        const std::string& key,
                        const std::string& accepted) {
  return base::MakeError(code, base::Step::kLoadSettings, PlaceText(place),
                         key + ": " + accepted);
}

template <class T>
std::string AcceptedRange(const NumberEntry<T>& entry) {
  return "expected a whole number from " + std::to_string(entry.minimum) +
         " to " + std::to_string(entry.maximum) +
         (*entry.unit ? std::string(" ") + entry.unit : "");
}

template <class T>
std::optional<base::Error> ReadNumber(const NumberEntry<T>& entry,
                                      const YAML::Node& node,
                                      const Place& place,
                                      T& settings) {
  std::int64_t value = 0;
  if (!YAML::convert<std::int64_t>::decode(node, value))
    return Fail(base::ErrorCode::kWrongType, place, entry.key,
                AcceptedRange(entry));
  if (value < entry.minimum || value > entry.maximum)
    return Fail(base::ErrorCode::kOutOfRange, place, entry.key,
                AcceptedRange(entry));
  settings.*entry.member = value;
  return std::nullopt;
}

template <class T>
std::optional<base::Error> ReadText(const TextEntry<T>& entry,
                                    const YAML::Node& node,
                                    const Place& place,
                                    T& settings) {
  if (!node.IsScalar())
    return Fail(base::ErrorCode::kWrongType, place, entry.key,
                AcceptedForm(entry.form));
  if (!HasForm(node.Scalar(), entry.form))
    return Fail(base::ErrorCode::kOutOfRange, place, entry.key,
                AcceptedForm(entry.form));
  settings.*entry.member = node.Scalar();
  return std::nullopt;
}

template <class T>
std::optional<base::Error> ReadList(const ListEntry<T>& entry,
                                    const YAML::Node& node,
                                    const Place& place,
                                    T& settings) {
  const std::string accepted =
      "expected a list of IP:port with numeric IP addresses";
  if (!node.IsSequence())
    return Fail(base::ErrorCode::kWrongType, place, entry.key, accepted);
  for (const YAML::Node& item : node) {
    const Place item_place{place.file_name, item.Mark().line + 1};
    if (!item.IsScalar() || !HasForm(item.Scalar(), TextForm::kEndpoint))
      return Fail(base::ErrorCode::kWrongType, item_place, entry.key, accepted);
    (settings.*entry.member).push_back(item.Scalar());
  }
  return std::nullopt;
}

template <class T>
std::optional<base::Error> ReadDecimal(const DecimalEntry<T>& entry,
                                       const YAML::Node& node,
                                       const Place& place,
                                       T& settings) {
  std::ostringstream accepted;
  accepted << "expected a number from " << entry.minimum << " to "
           << entry.maximum;
  double value = 0;
  if (!YAML::convert<double>::decode(node, value))
    return Fail(base::ErrorCode::kWrongType, place, entry.key, accepted.str());
  if (!(value >= entry.minimum && value <= entry.maximum))
    return Fail(base::ErrorCode::kOutOfRange, place, entry.key, accepted.str());
  settings.*entry.member = value;
  return std::nullopt;
}

template <class T>
std::optional<base::Error> ReadTime(const TimeEntry<T>& entry,
                                    const YAML::Node& node,
                                    const Place& place,
                                    T& settings) {
  const auto milliseconds = [](base::Duration time) {
    return std::to_string(time.count() / 1000) + "ms";
  };
  const std::string accepted = "expected a duration from " +
                               milliseconds(entry.minimum) + " to " +
                               milliseconds(entry.maximum);
  const auto value = node.IsScalar() ? ParseTime(node.Scalar()) : std::nullopt;
  if (!value)
    return Fail(base::ErrorCode::kWrongType, place, entry.key, accepted);
  if (*value < entry.minimum || *value > entry.maximum)
    return Fail(base::ErrorCode::kOutOfRange, place, entry.key, accepted);
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
                                     const Place& place,
                                     T& settings) {
  if (const auto* entry = FindEntry(tables.numbers, key))
    return ReadNumber(*entry, node, place, settings);
  if (const auto* entry = FindEntry(tables.decimals, key))
    return ReadDecimal(*entry, node, place, settings);
  if (const auto* entry = FindEntry(tables.times, key))
    return ReadTime(*entry, node, place, settings);
  if (const auto* entry = FindEntry(tables.texts, key))
    return ReadText(*entry, node, place, settings);
  if (const auto* entry = FindEntry(tables.lists, key))
    return ReadList(*entry, node, place, settings);
  return Fail(base::ErrorCode::kUnknownKey, place, key,
              std::string("the accepted keys are listed in ") + tables.page);
}

// Sets all default values, then reads the entries of the file and checks that
// every required entry is present.
template <class T>
base::Result<T> ReadRoot(const EntryTables<T>& tables,
                         const YAML::Node& root,
                         const std::string& file_name) {
  T settings;
  for (const auto& entry : tables.numbers)
    settings.*entry.member = entry.fallback;
  for (const auto& entry : tables.decimals)
    settings.*entry.member = entry.fallback;
  for (const auto& entry : tables.times)
    settings.*entry.member = entry.fallback;
  if (!root.IsMap())
    return Fail(base::ErrorCode::kWrongType, Place{file_name, 1}, "(file)",
                "expected a YAML map");
  std::set<std::string> seen;
  for (const auto& pair : root) {
    const std::string key = pair.first.Scalar();
    const Place place{file_name, pair.first.Mark().line + 1};
    if (!seen.insert(key).second)
      return Fail(base::ErrorCode::kConflict, place, key,
                  "the key appears twice");
    if (auto error = ReadEntry(tables, key, pair.second, place, settings))
      return *error;
  }
  for (const auto& entry : tables.texts) {
    if (entry.required && !seen.contains(entry.key))
      return Fail(base::ErrorCode::kMissing, Place{file_name, 1}, entry.key,
                  AcceptedForm(entry.form));
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
    return ReadRoot(tables, YAML::Load(text), file_name);
  } catch (const YAML::Exception& exception) {
    return Fail(base::ErrorCode::kMalformed,
                Place{file_name, exception.mark.line + 1}, "(file)",
                exception.msg);
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
