#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

#include "base/time_type.h"
#include "claim/event_type.h"
#include "claim/key_generator_type.h"
#include "claim/run_key_type.h"
#include "claim/run_record_type.h"
#include "claim/shard_log_type.h"

namespace poplarfork::claim {

// The key of an inactive record or of a retained response, and the time at
// which the record or response is dropped.
struct Expiry {
  RunKey key = {};
  base::TimePoint expires_at = {};
};

// Everything that one daemon knows about claims.
struct ClaimState {
  KeyGenerator key_generator = {};
  // The live daemons, including this one.
  std::vector<LiveDaemon> live_daemons = {};
  bool store_reachable = true;
  std::unordered_map<RunKey, RunRecord> records = {};
  // The key of each request that waits or runs.
  std::unordered_map<RequestToken, RunKey> request_keys = {};
  // The logs of the shards whose claims this daemon has collected or appended.
  std::map<Shard, ShardLog> shards = {};
  std::uint64_t last_attempt = 0;
  std::uint64_t last_batch_number = 0;
  // Number of claims in all of `shards`.
  std::size_t known_claims = 0;
  // The keys whose claims have been made and have no result yet.
  std::vector<RunKey> claiming_keys = {};
  // Expiries, each deque in ascending order of time.
  std::deque<Expiry> minted_expiries = {};
  std::deque<Expiry> supplied_expiries = {};
  std::deque<Expiry> retained_expiries = {};
  std::size_t retained_bytes = 0;
};

}  // namespace poplarfork::claim
