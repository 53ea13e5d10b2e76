#pragma once

namespace poplarfork::health {

// Outcome of a request to an upstream, as observed by the daemon.
enum class RequestOutcome {
  kSuccess,
  // The upstream responded with a failure (status 500 or above).
  kFailure,
  // The response was malformed, truncated or belonged to another request.
  kInvalidResponse,
  // No connection was established and no byte was sent.
  kConnectFailed,
  // The connection closed after at least one byte had been sent and before the
  // end of the response.
  kConnectionLost,
  // The deadline passed without a complete response.
  kTimeout,
  // The upstream refused the request because of its load.
  kShed,
  // The caller or the daemon cancelled the request. This is no evidence about
  // the upstream.
  kCancelled,
};

}  // namespace poplarfork::health
