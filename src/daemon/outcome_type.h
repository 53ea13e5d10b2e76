#pragma once

namespace poplarfork::daemon {

// What a caller may conclude from the response to a request that did not
// succeed.
enum class Outcome {
  // The request was not run: no byte of it can have reached an upstream that
  // might run it.
  kNotRun,
  // The request may or may not have run.
  kUnknown,
  // The upstream ran or refused the request and responded with a failure.
  kFailed,
};

}  // namespace poplarfork::daemon
