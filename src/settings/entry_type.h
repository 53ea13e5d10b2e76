#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "base/time_type.h"

namespace poplarfork::settings {

// Describes an integer in the settings file that is stored in a member of `T`.
template <class T>
struct IntegerEntry {
  const char* key;
  const char* unit;
  std::int64_t minimum;
  std::int64_t maximum;
  std::int64_t default_value;
  std::int64_t T::*member;
};

// Describes a number that may have a fraction.
template <class T>
struct DecimalEntry {
  const char* key;
  double minimum;
  double maximum;
  double default_value;
  double T::*member;
};

// Describes a switch in the settings file, which is off by default.
template <class T>
struct BooleanEntry {
  const char* key;
  bool T::*member;
};

// Describes a duration with its unit, such as "1500ms" or "2.5s".
template <class T>
struct DurationEntry {
  const char* key;
  base::Duration minimum;
  base::Duration maximum;
  base::Duration default_value;
  base::Duration T::*member;
};

// The format that the value of a text entry must have.
enum class TextFormat {
  kAny,
  // "IP:port" with a numeric IP address.
  kEndpoint,
  // 1 to 63 letters, digits, '-', '_' or '.'.
  kName,
};

// Describes a text in the settings file.
template <class T>
struct TextEntry {
  const char* key;
  TextFormat format;
  bool is_required;
  std::string T::*member;
};

// Describes a list in the settings file. Each item must be "IP:port" with a
// numeric IP address.
template <class T>
struct ListEntry {
  const char* key;
  std::vector<std::string> T::*member;
};

// Describes all entries of one settings file.
template <class T>
struct EntryTables {
  std::span<const IntegerEntry<T>> integers;
  std::span<const DecimalEntry<T>> decimals;
  std::span<const DurationEntry<T>> durations;
  std::span<const TextEntry<T>> texts;
  std::span<const ListEntry<T>> lists;
  // Path of the page that documents the keys. It is named in the error for an
  // unknown key.
  const char* documentation_page = "";
  std::span<const BooleanEntry<T>> booleans = {};
};

}  // namespace poplarfork::settings
