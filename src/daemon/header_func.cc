#include "daemon/header_func.h"

#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <vector>

namespace poplarfork::daemon {

namespace {

namespace http = boost::beast::http;

constexpr std::array kHopByHopFields = {http::field::connection,
                                        http::field::keep_alive,
                                        http::field::proxy_connection,
                                        http::field::te,
                                        http::field::trailer,
                                        http::field::transfer_encoding,
                                        http::field::upgrade,
                                        http::field::proxy_authenticate,
                                        http::field::expect};

constexpr std::string_view kDigestPrefix = "sha-256=";

}  // namespace

void RemoveHopByHopFields(http::fields& fields) {
  std::vector<std::string> connection_options;
  for (const auto& token : http::token_list(fields[http::field::connection]))
    connection_options.emplace_back(token);
  for (const std::string& name : connection_options)
    fields.erase(name);
  for (const http::field field : kHopByHopFields)
    fields.erase(field);
}

std::string ParseDigestField(const http::fields& fields) {
  const auto value = fields["Digest"];
  const std::string text(value.data(), value.size());
  if (!boost::algorithm::istarts_with(text, kDigestPrefix))
    return {};
  return text.substr(kDigestPrefix.size());
}

}  // namespace poplarfork::daemon
