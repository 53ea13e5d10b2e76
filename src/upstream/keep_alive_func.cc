#include "upstream/keep_alive_func.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>
#include <string>

namespace poplarfork::upstream {

namespace {

constexpr unsigned kMaxIdleTimeoutSeconds = 3600;

}  // namespace

std::optional<base::Duration> ParseKeepAliveTimeout(const HttpHeader& header) {
  namespace http = boost::beast::http;
  // The parameter list refers to this text, so the text must outlive the list.
  std::string text = ";";
  text.append(std::string(header[http::field::keep_alive]));
  for (const auto& parameter : http::param_list(text)) {
    if (!boost::beast::iequals(parameter.first, "timeout"))
      continue;
    const char* end = parameter.second.data() + parameter.second.size();
    unsigned seconds = 0;
    const auto parsed = std::from_chars(parameter.second.data(), end, seconds);
    if (parsed.ec == std::errc() && parsed.ptr == end)
      return std::chrono::seconds(std::min(seconds, kMaxIdleTimeoutSeconds));
  }
  return std::nullopt;
}

}  // namespace poplarfork::upstream
