#include "settings/text_format_func.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cmath>
#include <cstdlib>

namespace poplarfork::settings {

namespace {

constexpr std::size_t kMaxNameCharacters = 63;
constexpr unsigned kMaxPort = 65535;

bool IsEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos)
    return false;
  boost::system::error_code code;
  boost::asio::ip::make_address(text.substr(0, colon), code);
  if (code)
    return false;
  unsigned port = kMaxPort + 1;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  return parsed.ec == std::errc() && parsed.ptr == end && port <= kMaxPort;
}

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

bool IsName(const std::string& text) {
  if (text.empty() || text.size() > kMaxNameCharacters)
    return false;
  return std::all_of(text.begin(), text.end(), IsNameCharacter);
}

}  // namespace

const char* DescribeAcceptedFormat(TextFormat format) {
  switch (format) {
    case TextFormat::kEndpoint:
      return "expected IP:port with a numeric IP address";
    case TextFormat::kName:
      return "expected 1 to 63 letters, digits, '-', '_' or '.'";
    case TextFormat::kAny:
      break;
  }
  return "expected a non-empty text";
}

bool MatchesFormat(const std::string& text, TextFormat format) {
  switch (format) {
    case TextFormat::kEndpoint:
      return IsEndpoint(text);
    case TextFormat::kName:
      return IsName(text);
    case TextFormat::kAny:
      break;
  }
  return !text.empty();
}

std::optional<base::Duration> ParseDuration(const std::string& text) {
  char* end = nullptr;
  const double value = std::strtod(text.c_str(), &end);
  const std::string unit(end);
  const double microseconds_per_unit = unit == "ms"  ? 1e3
                                       : unit == "s" ? 1e6
                                                     : 0;
  if (microseconds_per_unit == 0 || end == text.c_str() ||
      !std::isfinite(value) || value < 0 ||
      value * microseconds_per_unit > 1e15)
    return std::nullopt;
  return base::Duration(std::llround(value * microseconds_per_unit));
}

}  // namespace poplarfork::settings
