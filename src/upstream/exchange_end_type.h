#pragma once

#include <boost/system/error_code.hpp>

namespace poplarfork::upstream {

// The progress of an exchange with an upstream.
enum class Progress {
  // There is no connection yet, and no byte of the request was sent.
  kNotConnected,
  // The connection is established, and bytes of the request may have been sent.
  kMaybeSent,
  // The header of the response was received, but not the complete body.
  kHeaderReceived,
  // The complete response was received.
  kComplete,
};

// The result of an exchange.
struct ExchangeEnd {
  Progress progress = Progress::kNotConnected;
  boost::system::error_code error;
  // The connection had served another request before.
  bool is_connection_reused = false;
  // The kernel of the upstream acknowledged nothing on a reused connection for
  // the silence timeout, or no response began within the limit of the call.
  bool is_silent = false;
  // The upstream sent bytes that are not a valid response: they cannot be
  // parsed, or the status is none that a final response may have.
  bool is_malformed = false;
  // The status that was not accepted; 0 if there was none.
  unsigned rejected_status = 0;
  // The exchange was ended by Exchange::Cancel().
  bool is_cancelled = false;
};

}  // namespace poplarfork::upstream
