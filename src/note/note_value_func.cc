#include "note/note_value_func.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <sstream>
#include <string_view>

namespace poplarfork::note {

namespace {

using base::ErrorCode;

constexpr std::string_view kReservedPathPrefix = "/.poplarfork";

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

bool IsLower(char c) {
  return c >= 'a' && c <= 'z';
}

bool IsUpper(char c) {
  return c >= 'A' && c <= 'Z';
}

bool IsNameCharacter(char c) {
  return IsDigit(c) || IsLower(c) || IsUpper(c) || c == '.' || c == '_' ||
         c == '-';
}

bool IsHostCharacter(char c) {
  return IsDigit(c) || IsLower(c) || c == '.' || c == '-';
}

bool IsPathCharacter(char c) {
  return c > ' ' && c < 0x7f && c != '?' && c != '#' && c != '%' && c != '\\';
}

bool IsControl(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte < 0x20 || byte == 0x7f;
}

bool HasDotSegment(std::string_view path) {
  std::istringstream stream{std::string(path)};
  std::string segment;
  while (std::getline(stream, segment, '/')) {
    if (segment == "." || segment == "..")
      return true;
  }
  return false;
}

bool IsPath(std::string_view text) {
  if (text.empty() || text.front() != '/')
    return false;
  if (!std::ranges::all_of(text, IsPathCharacter))
    return false;
  if (text.find("//") != std::string_view::npos || HasDotSegment(text))
    return false;
  return !text.starts_with(kReservedPathPrefix);
}

bool IsIntegerUpTo(std::string_view text, unsigned maximum) {
  unsigned number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  return !text.empty() && error == std::errc() &&
         end == text.data() + text.size() && number <= maximum;
}

bool IsIpv4(std::string_view text) {
  int octet_count = 0;
  while (true) {
    const std::size_t dot = text.find('.');
    if (!IsIntegerUpTo(text.substr(0, dot), 255))
      return false;
    ++octet_count;
    if (dot == std::string_view::npos)
      return octet_count == 4;
    text.remove_prefix(dot + 1);
  }
}

bool IsIpv6Character(char c) {
  return IsDigit(c) || (c >= 'a' && c <= 'f') || c == ':' || c == '.';
}

bool IsIpv6(std::string_view text) {
  if (text.size() < 4 || text.front() != '[' || text.back() != ']')
    return false;
  const std::string_view address = text.substr(1, text.size() - 2);
  return address.find(':') != std::string_view::npos &&
         std::ranges::all_of(address, IsIpv6Character);
}

bool IsAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return false;
  const std::string_view host = text.substr(0, colon);
  const std::string_view port = text.substr(colon + 1);
  if (!IsIntegerUpTo(port, 65535) || port == "0")
    return false;
  return IsIpv4(host) || IsIpv6(host);
}

bool IsChoice(std::string_view choices, std::string_view text) {
  std::istringstream stream{std::string(choices)};
  std::string choice;
  while (stream >> choice) {
    if (choice == text)
      return true;
  }
  return false;
}

bool MatchesType(const NoteKey& key, std::string_view text) {
  switch (key.type) {
    case ValueType::kText:
      return std::ranges::none_of(text, IsControl);
    case ValueType::kName:
      return std::ranges::all_of(text, IsNameCharacter);
    case ValueType::kAddress:
      return IsAddress(text);
    case ValueType::kHost:
      return std::ranges::all_of(text, IsHostCharacter);
    case ValueType::kPath:
      return IsPath(text);
    case ValueType::kMethod:
      return std::ranges::all_of(text, IsUpper);
    case ValueType::kChoice:
      return IsChoice(key.choices, text);
    default:
      return false;
  }
}

bool HasLengthLimit(ValueType type) {
  return type != ValueType::kAddress && type != ValueType::kChoice;
}

ErrorCode ParseText(const NoteKey& key,
                    const ScalarText& scalar,
                    NoteValue& value) {
  const auto size = static_cast<double>(scalar.text.size());
  const bool has_valid_length = size >= key.minimum && size <= key.maximum;
  if (HasLengthLimit(key.type) && !has_valid_length)
    return ErrorCode::kOutOfRange;
  if (!MatchesType(key, scalar.text))
    return ErrorCode::kOutOfRange;
  value.text = scalar.text;
  return ErrorCode::kOk;
}

ErrorCode ParseNumber(const NoteKey& key,
                      const ScalarText& scalar,
                      NoteValue& value) {
  const char* first = scalar.text.data();
  const char* last = first + scalar.text.size();
  double number = 0;
  const auto [end, error] = std::from_chars(first, last, number);
  const bool is_fully_parsed = end == last && !scalar.text.empty();
  if (scalar.is_quoted || !is_fully_parsed ||
      error == std::errc::invalid_argument)
    return ErrorCode::kWrongType;
  if (error == std::errc::result_out_of_range)
    return ErrorCode::kOutOfRange;
  if (!std::isfinite(number))
    return ErrorCode::kWrongType;
  if (key.type == ValueType::kInteger && number != std::floor(number))
    return ErrorCode::kWrongType;
  if (number < key.minimum || number > key.maximum)
    return ErrorCode::kOutOfRange;
  value.number = number;
  return ErrorCode::kOk;
}

ErrorCode ParseBoolean(const ScalarText& scalar, NoteValue& value) {
  const bool is_boolean = scalar.text == "true" || scalar.text == "false";
  if (scalar.is_quoted || !is_boolean)
    return ErrorCode::kWrongType;
  value.flag = scalar.text == "true";
  return ErrorCode::kOk;
}

}  // namespace

ErrorCode ParseValue(const NoteKey& key,
                     const ScalarText& scalar,
                     NoteValue& value) {
  switch (key.type) {
    case ValueType::kNested:
      return ErrorCode::kWrongType;
    case ValueType::kInteger:
    case ValueType::kNumber:
      return ParseNumber(key, scalar, value);
    case ValueType::kBoolean:
      return ParseBoolean(scalar, value);
    default:
      return ParseText(key, scalar, value);
  }
}

}  // namespace poplarfork::note
