#include "edge/check_func.h"

#include <array>

namespace poplarfork::edge {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

// The status and the reason with which a parse error of Beast is answered.
struct ErrorRow {
  http::error error;
  http::status status;
  const char* reason;
};

constexpr std::array kErrorRows = {
    ErrorRow{http::error::header_limit,
             http::status::request_header_fields_too_large, "header_too_large"},
    ErrorRow{http::error::body_limit, http::status::payload_too_large,
             "body_too_large"},
    ErrorRow{http::error::bad_version, http::status::http_version_not_supported,
             "bad_version"},
    ErrorRow{http::error::bad_method, http::status::bad_request, "bad_method"},
    ErrorRow{http::error::bad_target, http::status::bad_request, "bad_target"},
    ErrorRow{http::error::bad_field, http::status::bad_request, "bad_field"},
    ErrorRow{http::error::bad_value, http::status::bad_request, "bad_value"},
    ErrorRow{http::error::bad_content_length, http::status::bad_request,
             "bad_content_length"},
    ErrorRow{http::error::bad_transfer_encoding, http::status::bad_request,
             "bad_transfer_encoding"},
    ErrorRow{http::error::bad_chunk, http::status::bad_request, "bad_chunk"},
    ErrorRow{http::error::bad_chunk_extension, http::status::bad_request,
             "bad_chunk"},
    ErrorRow{http::error::bad_obs_fold, http::status::bad_request,
             "bad_obs_fold"},
    ErrorRow{http::error::bad_line_ending, http::status::bad_request,
             "bad_line_ending"},
    ErrorRow{http::error::partial_message, http::status::bad_request,
             "incomplete_request"},
    ErrorRow{http::error::unexpected_body, http::status::bad_request,
             "unexpected_body"},
};

}  // namespace

std::optional<Rejection> CheckFraming(const http::request_header<>& header) {
  const std::size_t encodings = header.count(http::field::transfer_encoding);
  const std::size_t lengths = header.count(http::field::content_length);
  if (encodings > 0 && lengths > 0)
    return Rejection{http::status::bad_request, "length_and_chunked"};
  if (encodings > 1 || lengths > 1)
    return Rejection{http::status::bad_request, "repeated_framing"};
  if (encodings == 1 &&
      !boost::beast::iequals(header[http::field::transfer_encoding], "chunked"))
    return Rejection{http::status::bad_request, "bad_transfer_encoding"};
  if (header.count(http::field::host) != 1)
    return Rejection{http::status::bad_request, "host_missing_or_repeated"};
  if (header.method() == http::verb::connect ||
      header.method() == http::verb::unknown)
    return Rejection{http::status::not_implemented, "method_not_supported"};
  return std::nullopt;
}

std::optional<Rejection> RejectionOf(const error_code& error) {
  for (const ErrorRow& row : kErrorRows) {
    if (error == row.error)
      return Rejection{row.status, row.reason};
  }
  return std::nullopt;
}

}  // namespace poplarfork::edge
