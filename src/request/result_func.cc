#include "request/result_func.h"

namespace poplarfork::request {

using dispatch::Outcome;
using dispatch::RefusalReason;

Outcome OutcomeOf(AttemptResult result) {
  switch (result) {
    case AttemptResult::kNotConnected:
      return Outcome::kUnreachable;
    case AttemptResult::kRefused:
      return Outcome::kRefused;
    case AttemptResult::kAnswered:
      return Outcome::kServed;
    case AttemptResult::kFailed:
    case AttemptResult::kFailedUnpromised:
      return Outcome::kFailed;
    case AttemptResult::kNotRun:
      return Outcome::kShed;
    case AttemptResult::kMisdirected:
      return Outcome::kMisdirected;
    case AttemptResult::kBroken:
      return Outcome::kBroken;
    case AttemptResult::kBadAnswer:
      return Outcome::kBadAnswer;
  }
  return Outcome::kUnused;
}

Failure FailureOf(AttemptResult result) {
  switch (result) {
    case AttemptResult::kNotConnected:
    case AttemptResult::kRefused:
      return Failure::kUnreachable;
    case AttemptResult::kNotRun:
    case AttemptResult::kMisdirected:
      return Failure::kShedByUpstreams;
    case AttemptResult::kBroken:
      return Failure::kBrokenAnswer;
    case AttemptResult::kAnswered:
    case AttemptResult::kFailed:
    case AttemptResult::kFailedUnpromised:
    case AttemptResult::kBadAnswer:
      break;
  }
  return Failure::kBadAnswer;
}

Failure FailureOf(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kOverload:
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
  }
  return Failure::kOverload;
}

bool IsFull(RefusalReason reason) {
  return reason == RefusalReason::kOverload ||
         reason == RefusalReason::kNoUpstream;
}

bool IsNotSent(AttemptResult result) {
  return result == AttemptResult::kNotConnected ||
         result == AttemptResult::kRefused;
}

bool MayHaveRun(Outcome outcome) {
  return outcome != Outcome::kUnused && outcome != Outcome::kUnreachable &&
         outcome != Outcome::kRefused && outcome != Outcome::kShed &&
         outcome != Outcome::kMisdirected;
}

}  // namespace poplarfork::request
