#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/ids_type.h"
#include "base/time_type.h"
#include "claim/answer_type.h"
#include "claim/run_key_type.h"

namespace poplarfork::claim {

enum class RunPhase {
  // A claim has been made, and its result is not known yet.
  kClaiming,
  // No claim has been made yet, or the claim ended without a known owner, for
  // example because its result did not arrive in time. It may be in the log.
  kAbandoned,
  // This incarnation owns the key and has not sent the request.
  kOwned,
  // The driver runs a request; `sent` tells whether a byte of it may have been
  // sent.
  kRunning,
  // The request was sent, and its run is over.
  kFinished,
};

// A request that waits for the result of a claim or of a run.
struct Waiter {
  RequestToken token = {};
  bool first_send = false;
};

// What this incarnation knows about one key. It sends the request at most once:
// a record enters `kRunning` only from `kOwned`, and returns from `kRunning` to
// `kOwned` only while nothing was sent.
struct RunRecord {
  RunPhase phase = RunPhase::kClaiming;
  Shard shard = {};
  base::AccountId account = {};
  // The attempt of the claim, which is constant for the life of the record; 0
  // for minted keys.
  std::uint64_t attempt = 0;
  base::TimePoint claimed_at = {};
  // Whether this daemon appends the claim itself, because the collecting daemon
  // did not answer, could not append it, or is this daemon.
  bool direct_append = false;
  // Number of requests that arrived with this key.
  std::uint32_t request_count = 0;
  std::vector<Waiter> waiters = {};
  // The request that runs. `running_caller_gone` is set when its caller has
  // closed the connection.
  RequestToken running_request = {};
  bool running_caller_gone = false;
  bool sent = false;
  // The minted key that a caller got in place of this one. Once it is set, this
  // key never runs at this daemon.
  std::string replacement_key = {};
  // The members below are set when the run is finished.
  Outcome outcome = Outcome::kUnknown;
  int status = 0;
  std::shared_ptr<const RetainedResponse> response = {};
};

}  // namespace poplarfork::claim
