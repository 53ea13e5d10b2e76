#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/ids_type.h"
#include "claim/answer_type.h"
#include "claim/claim_batch_type.h"
#include "claim/run_key_type.h"

namespace poplarfork::claim {

// What a daemon that relays a request states about it.
struct RelayInfo {
  // The incarnation of the receiving daemon for which the request is meant.
  base::Incarnation incarnation = {};
  // The attempt of the claim that the relaying daemon found in the log; 0 for
  // minted keys.
  std::uint64_t attempt = 0;
};

// A request for work that is not repeatable.
struct ArrivedRequest {
  RequestToken token = {};
  base::AccountId account = {};
  // The value of the header Idempotency-Key; empty if there is none.
  std::string key = {};
  // Whether the service's policy requires a key.
  bool require_key = false;
  // Whether the caller states that it has not sent this key before and sends it
  // again only after the answer. While the store is unreachable, only such a
  // request can be reported as not run, because another daemon may have run
  // another send of the key.
  bool first_send = false;
  // Set if another daemon relays the request.
  std::optional<RelayInfo> relay_info = {};
};

enum class RunEnd {
  // No byte was sent; `reason` gives the cause.
  kNotSent,
  // Bytes may have been sent, and there is no complete response.
  kUnknown,
  // The upstream answered, and the driver passed the response to the caller.
  kAnswered,
};

// How the run of a request ended.
struct RunResult {
  RunEnd end = RunEnd::kUnknown;
  Reason reason = Reason::kNone;
  // The status of the upstream if it answered, otherwise the status of the
  // daemon's answer.
  int status = 0;
  // Set if the upstream answered with a complete response of at most
  // `kMaxRetainedResponseBytes`.
  std::shared_ptr<const RetainedResponse> response = {};
};

enum class AppendStatus {
  kCreated,
  // The entry number is already in use; `existing` is the entry that has it.
  kConflict,
  // The store did not reply; the append may still take effect.
  kNoReply,
  // The append was not sent or was refused, or the existing entry is malformed.
  kUnavailable,
};

// The store's reply to an `AppendBatch`.
struct AppendReply {
  Shard shard = {};
  std::uint64_t entry_number = 0;
  AppendStatus status = AppendStatus::kUnavailable;
  std::optional<ClaimBatch> existing = {};
};

// The store's reply to a `ReadLog`.
struct ReadLogReply {
  Shard shard = {};
  // False if the store did not reply or an entry is malformed.
  bool success = false;
  // The entries from the requested number on, without gaps.
  std::vector<ClaimBatch> entries = {};
  // Whether the log has further entries.
  bool has_more = false;
};

// A daemon that this daemon considers alive.
struct LiveDaemon {
  base::DaemonId id = {};
  base::Incarnation incarnation = {};
};

}  // namespace poplarfork::claim
