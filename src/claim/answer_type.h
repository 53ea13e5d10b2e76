#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "base/time_type.h"

namespace poplarfork::claim {

// What the daemon knows about whether the work has run; the value of the header
// Poplarfork-Outcome.
enum class Outcome {
  // No byte of the request can have reached an upstream.
  kNotRun,
  // The work may have run.
  kUnknown,
  // The upstream answered with a failure (status 400 or more).
  kFailed,
  // The upstream answered with success.
  kSucceeded,
};

// Why the daemon answers a request itself; the member `reason` of the problem
// body.
enum class Reason {
  kNone,
  kKeyRequired,
  kBadKey,
  kKeyExpired,
  kStoreUnavailable,
  kClaimTimeout,
  kClaimInDoubt,
  kKeyReplaced,
  kTooManyKeys,
  kNoUpstream,
  kDeadlineExceeded,
  kConnectionLost,
  kMinterUnreachable,
  kMinterGone,
  kOwnerUnreachable,
  kOwnerGone,
  kAlreadyRun,
};

// A complete response that is kept in order to answer repeats of the request.
// The driver defines how header lines are laid out in `head`.
struct RetainedResponse {
  int status = 0;
  std::string head = {};
  std::string body = {};
};

// An answer that the daemon renders: the status, the headers
// Poplarfork-Outcome, Poplarfork-Minted-Key and Retry-After, and a problem
// body.
struct Answer {
  // If set, this response is sent instead of a problem body.
  std::shared_ptr<const RetainedResponse> response = {};
  int status = 0;
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
  // The status that the upstream gave in the earlier run; 0 if it is not known.
  int earlier_status = 0;
  // A key under which the caller may send the work again at once; empty if
  // there is none. It is given only together with `kNotRun`.
  std::string minted_key = {};
  // The value of the header Retry-After; 0 if there is none.
  base::Duration retry_after = base::Duration(0);
};

}  // namespace poplarfork::claim
