#include "claim/answer_func.h"

#include <array>

namespace poplarfork::claim {

namespace {

struct ReasonText {
  Reason reason;
  const char* text;
};

constexpr std::array<ReasonText, 17> kReasonTexts = {{
    {Reason::kNone, "none"},
    {Reason::kKeyRequired, "key_required"},
    {Reason::kBadKey, "bad_key"},
    {Reason::kKeyExpired, "key_expired"},
    {Reason::kStoreUnavailable, "store_unavailable"},
    {Reason::kClaimTimeout, "claim_timeout"},
    {Reason::kClaimInDoubt, "claim_in_doubt"},
    {Reason::kKeyReplaced, "key_replaced"},
    {Reason::kTooManyKeys, "too_many_keys"},
    {Reason::kNoUpstream, "no_upstream"},
    {Reason::kDeadlineExceeded, "deadline_exceeded"},
    {Reason::kConnectionLost, "connection_lost"},
    {Reason::kMinterUnreachable, "minting_daemon_unreachable"},
    {Reason::kMinterGone, "minting_daemon_gone"},
    {Reason::kOwnerUnreachable, "claiming_daemon_unreachable"},
    {Reason::kOwnerGone, "claiming_daemon_gone"},
    {Reason::kAlreadyRun, "already_run"},
}};

}  // namespace

const char* OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
    case Outcome::kFailed:
      return "failed";
    case Outcome::kSucceeded:
      return "succeeded";
  }
  return "unknown";
}

const char* ReasonName(Reason reason) {
  for (const ReasonText& entry : kReasonTexts) {
    if (entry.reason == reason)
      return entry.text;
  }
  return "unknown_reason";
}

}  // namespace poplarfork::claim
