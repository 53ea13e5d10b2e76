#include "request/result_func.h"

namespace poplarfork::request {

using dispatch::Outcome;
using dispatch::RefusalReason;

Outcome ToOutcome(AttemptResult result) {
  switch (result) {
    case AttemptResult::kNotConnected:
      return Outcome::kUnreachable;
    case AttemptResult::kConnectionRefused:
      return Outcome::kConnectionRefused;
    case AttemptResult::kCompleted:
      return Outcome::kServed;
    case AttemptResult::kFailed:
    case AttemptResult::kFailedMisleadingStatus:
      return Outcome::kFailed;
    case AttemptResult::kNotRun:
      return Outcome::kShed;
    case AttemptResult::kMisdirected:
      return Outcome::kMisdirected;
    case AttemptResult::kConnectionBroken:
      return Outcome::kConnectionBroken;
    case AttemptResult::kInvalidResponse:
      return Outcome::kInvalidResponse;
  }
  return Outcome::kUnused;
}

Failure ToFailure(AttemptResult result) {
  switch (result) {
    case AttemptResult::kNotConnected:
    case AttemptResult::kConnectionRefused:
      return Failure::kUnreachable;
    case AttemptResult::kNotRun:
    case AttemptResult::kMisdirected:
      return Failure::kShedByUpstreams;
    case AttemptResult::kConnectionBroken:
      return Failure::kConnectionBroken;
    case AttemptResult::kCompleted:
    case AttemptResult::kFailed:
    case AttemptResult::kFailedMisleadingStatus:
    case AttemptResult::kInvalidResponse:
      break;
  }
  return Failure::kInvalidResponse;
}

Failure ToFailure(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kOverload:
    case RefusalReason::kHedgeBudget:
      return Failure::kOverload;
    case RefusalReason::kRetryBudget:
      return Failure::kShedByUpstreams;
    case RefusalReason::kNoUpstream:
      return Failure::kNoUpstream;
    case RefusalReason::kCrashesUpstreams:
      return Failure::kCrashesUpstreams;
    case RefusalReason::kNotReady:
      return Failure::kNotReady;
    case RefusalReason::kExpired:
      return Failure::kExpired;
    case RefusalReason::kUpstreamsPaused:
      return Failure::kUpstreamsPaused;
    case RefusalReason::kOverAllowance:
      return Failure::kOverAllowance;
  }
  return Failure::kOverload;
}

bool IsShardFull(RefusalReason reason) {
  return reason == RefusalReason::kOverload ||
         reason == RefusalReason::kNoUpstream ||
         reason == RefusalReason::kUpstreamsPaused;
}

bool IsNotSent(AttemptResult result) {
  return result == AttemptResult::kNotConnected ||
         result == AttemptResult::kConnectionRefused;
}

bool MayHaveRun(Outcome outcome) {
  return outcome != Outcome::kUnused && outcome != Outcome::kUnreachable &&
         outcome != Outcome::kConnectionRefused && outcome != Outcome::kShed &&
         outcome != Outcome::kMisdirected;
}

}  // namespace poplarfork::request
