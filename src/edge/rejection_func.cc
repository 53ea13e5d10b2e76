#include "edge/rejection_func.h"

#include <array>

namespace poplarfork::edge {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

// The status and the reason with which a parse error of Beast is answered.
struct ErrorMapping {
  http::error error;
  http::status status;
  const char* reason;
};

constexpr std::array kErrorMappings = {
    ErrorMapping{http::error::header_limit,
                 http::status::request_header_fields_too_large,
                 "header_too_large"},
    ErrorMapping{http::error::body_limit, http::status::payload_too_large,
                 "body_too_large"},
    ErrorMapping{http::error::bad_version,
                 http::status::http_version_not_supported, "bad_version"},
    ErrorMapping{http::error::bad_method, http::status::bad_request,
                 "bad_method"},
    ErrorMapping{http::error::bad_target, http::status::bad_request,
                 "bad_target"},
    ErrorMapping{http::error::bad_field, http::status::bad_request,
                 "bad_field"},
    ErrorMapping{http::error::bad_value, http::status::bad_request,
                 "bad_value"},
    ErrorMapping{http::error::bad_content_length, http::status::bad_request,
                 "bad_content_length"},
    ErrorMapping{http::error::bad_transfer_encoding, http::status::bad_request,
                 "bad_transfer_encoding"},
    ErrorMapping{http::error::bad_chunk, http::status::bad_request,
                 "bad_chunk"},
    ErrorMapping{http::error::bad_chunk_extension, http::status::bad_request,
                 "bad_chunk"},
    ErrorMapping{http::error::bad_obs_fold, http::status::bad_request,
                 "bad_obs_fold"},
    ErrorMapping{http::error::bad_line_ending, http::status::bad_request,
                 "bad_line_ending"},
    ErrorMapping{http::error::partial_message, http::status::bad_request,
                 "incomplete_request"},
    ErrorMapping{http::error::unexpected_body, http::status::bad_request,
                 "unexpected_body"},
};

}  // namespace

std::optional<Rejection> CheckFraming(const http::request_header<>& header) {
  const std::size_t transfer_encoding_count =
      header.count(http::field::transfer_encoding);
  const std::size_t content_length_count =
      header.count(http::field::content_length);
  if (transfer_encoding_count > 0 && content_length_count > 0)
    return Rejection{http::status::bad_request, "length_and_chunked"};
  if (transfer_encoding_count > 1 || content_length_count > 1)
    return Rejection{http::status::bad_request, "repeated_framing"};
  if (transfer_encoding_count == 1 &&
      !boost::beast::iequals(header[http::field::transfer_encoding], "chunked"))
    return Rejection{http::status::bad_request, "bad_transfer_encoding"};
  if (header.count(http::field::host) != 1)
    return Rejection{http::status::bad_request, "host_missing_or_repeated"};
  if (header.method() == http::verb::connect ||
      header.method() == http::verb::unknown)
    return Rejection{http::status::not_implemented, "method_not_supported"};
  return std::nullopt;
}

std::optional<Rejection> FindRejection(const error_code& error) {
  for (const ErrorMapping& mapping : kErrorMappings) {
    if (error == mapping.error)
      return Rejection{mapping.status, mapping.reason};
  }
  return std::nullopt;
}

}  // namespace poplarfork::edge
