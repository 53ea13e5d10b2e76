#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "base/time_type.h"
#include "claim/claim_batch_type.h"
#include "claim/claimant_type.h"
#include "claim/run_key_type.h"

namespace poplarfork::claim {

enum class LogPhase {
  kIdle,
  // A `ReadLog` has no reply yet.
  kReading,
  // An `AppendBatch` has no reply yet.
  kAppending,
};

// One shard's claim log as far as this daemon has read it. An append at
// `next_entry_number` succeeds only if the daemon knows all entries, so that an
// outdated view causes a conflict and not a second claim.
struct ShardLog {
  LogPhase phase = LogPhase::kIdle;
  // Whether the log was read to its end at least once.
  bool loaded = false;
  // The number after that of the last known entry; the first entry has the
  // number 1.
  std::uint64_t next_entry_number = 1;
  // The claimant of the first claim of each key.
  std::unordered_map<RunKey, Claimant> owners = {};
  // Claims that wait for an append.
  std::deque<Claim> queue = {};
  // The batch whose append is in flight.
  ClaimBatch pending_batch = {};
  // No append starts before this time, so that claims collect into batches.
  base::TimePoint next_append_at = {};
};

}  // namespace poplarfork::claim
