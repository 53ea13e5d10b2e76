#include "claim/claim_log_func.h"

#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "base/hash_func.h"
#include "claim/claim_func.h"
#include "claim/claim_limits_type.h"
#include "claim/claim_result_func.h"

namespace poplarfork::claim {

namespace {

// Applies a result if this daemon made the claim; otherwise sends it to the
// daemon that did.
void DeliverResult(ClaimState& state,
                   const ClaimResult& result,
                   base::TimePoint now,
                   Actions& actions) {
  const Claimant& claimant = result.claim.claimant;
  if (claimant.daemon == state.key_generator.self)
    ApplyClaimResult(state, result, now, actions);
  else
    actions.emplace_back(
        SendClaimResult{.to = claimant.daemon, .result = result});
}

// Delivers `verdict`, without an owner, to the claimants of `claims`. `claims`
// must not be part of `state`, because a result may lead to a new claim, which
// changes `state`.
template <class Claims>
void DeliverVerdictToAll(ClaimState& state,
                         const Claims& claims,
                         ClaimVerdict verdict,
                         base::TimePoint now,
                         Actions& actions) {
  for (const Claim& claim : claims)
    DeliverResult(state, {.claim = claim, .verdict = verdict}, now, actions);
}

// Delivers the owners of those `claims` whose keys are in the log, and returns
// the other claims.
template <class Claims>
std::deque<Claim> DeliverKnownOwners(ClaimState& state,
                                     const ShardLog& log,
                                     const Claims& claims,
                                     base::TimePoint now,
                                     Actions& actions) {
  std::deque<Claim> unowned;
  for (const Claim& claim : claims) {
    const auto found = log.owners.find(claim.key);
    if (found == log.owners.end()) {
      unowned.push_back(claim);
      continue;
    }
    const ClaimResult result{.claim = claim,
                             .verdict = ClaimVerdict::kOwned,
                             .owner = found->second};
    DeliverResult(state, result, now, actions);
  }
  return unowned;
}

// Adds the log entry with the number `log.next_entry_number` to `log`. The
// first claim of a key in the log owns the key.
void ApplyLogEntry(ClaimState& state, ShardLog& log, const ClaimBatch& batch) {
  for (const Claim& claim : batch.claims) {
    const bool is_first = log.owners.emplace(claim.key, claim.claimant).second;
    state.known_claims += is_first ? 1 : 0;
  }
  ++log.next_entry_number;
}

bool IsSameBatch(const ClaimBatch& left, const ClaimBatch& right) {
  return left.writer == right.writer &&
         left.writer_incarnation == right.writer_incarnation &&
         left.batch_number == right.batch_number;
}

// Answers all queued claims of a shard as unavailable.
void FailQueuedClaims(ClaimState& state,
                      ShardLog& log,
                      base::TimePoint now,
                      Actions& actions) {
  const std::deque<Claim> queue = std::exchange(log.queue, {});
  DeliverVerdictToAll(state, queue, ClaimVerdict::kUnavailable, now, actions);
}

void StartAppend(ClaimState& state,
                 Shard shard,
                 base::TimePoint now,
                 Actions& actions) {
  ShardLog& log = state.shards[shard];
  log.pending_batch =
      ClaimBatch{.writer = state.key_generator.self,
                 .writer_incarnation = state.key_generator.incarnation,
                 .batch_number = ++state.last_batch_number};
  while (!log.queue.empty() &&
         log.pending_batch.claims.size() < kMaxBatchClaims) {
    log.pending_batch.claims.push_back(std::move(log.queue.front()));
    log.queue.pop_front();
  }
  log.phase = LogPhase::kAppending;
  log.next_append_at = now + kAppendInterval;
  actions.emplace_back(AppendBatch{.shard = shard,
                                   .entry_number = log.next_entry_number,
                                   .batch = log.pending_batch});
}

void StartRead(Shard shard, ShardLog& log, Actions& actions) {
  log.phase = LogPhase::kReading;
  actions.emplace_back(
      ReadLog{.shard = shard, .first_entry_number = log.next_entry_number});
}

// Drops a log from memory, because the claims of all shards exceed
// `kMaxKnownClaims`. The log is read again from its first entry when needed.
void UnloadLog(ClaimState& state, ShardLog& log) {
  state.known_claims -= log.owners.size();
  log.owners.clear();
  log.next_entry_number = 1;
  log.loaded = false;
}

// Puts the claims of a batch that was not appended back at the front of the
// queue, and allows the next append at once.
void RequeueClaims(ShardLog& log, const ClaimBatch& batch) {
  log.queue.insert(log.queue.begin(), batch.claims.begin(), batch.claims.end());
  log.next_append_at = {};
}

}  // namespace

base::DaemonId FindCollector(const ClaimState& state, Shard shard) {
  const std::string key = "claims/" + std::to_string(shard.value);
  base::DaemonId best = state.key_generator.self;
  std::uint64_t best_weight = base::RendezvousWeight(key, best.value);
  for (const LiveDaemon& daemon : state.live_daemons) {
    const std::uint64_t weight = base::RendezvousWeight(key, daemon.id.value);
    if (weight > best_weight || (weight == best_weight && daemon.id < best)) {
      best = daemon.id;
      best_weight = weight;
    }
  }
  return best;
}

void SubmitClaim(ClaimState& state,
                 const ClaimMessage& message,
                 base::TimePoint now,
                 Actions& actions) {
  ShardLog& log = state.shards[message.shard];
  const std::vector<Claim> claims = {message.claim};
  if (DeliverKnownOwners(state, log, claims, now, actions).empty())
    return;
  const bool full = log.queue.size() >= kMaxQueuedClaims ||
                    state.known_claims >= kMaxKnownClaims;
  if (full || !state.store_reachable) {
    DeliverVerdictToAll(state, claims, ClaimVerdict::kUnavailable, now,
                        actions);
    return;
  }
  log.queue.push_back(message.claim);
  AdvanceShardLog(state, message.shard, now, actions);
}

void AdvanceShardLog(ClaimState& state,
                     Shard shard,
                     base::TimePoint now,
                     Actions& actions) {
  ShardLog& log = state.shards[shard];
  if (log.phase != LogPhase::kIdle || log.queue.empty())
    return;
  if (!log.loaded) {
    StartRead(shard, log, actions);
    return;
  }
  const std::deque<Claim> queue = std::exchange(log.queue, {});
  std::deque<Claim> unowned =
      DeliverKnownOwners(state, log, queue, now, actions);
  log.queue.insert(log.queue.begin(), unowned.begin(), unowned.end());
  if (!log.queue.empty() && now >= log.next_append_at)
    StartAppend(state, shard, now, actions);
}

Actions OnClaimMessage(ClaimState& state,
                       const ClaimMessage& message,
                       base::TimePoint now) {
  Actions actions;
  SubmitClaim(state, message, now, actions);
  return actions;
}

Actions OnAppendReply(ClaimState& state,
                      const AppendReply& reply,
                      base::TimePoint now) {
  Actions actions;
  ShardLog& log = state.shards[reply.shard];
  if (log.phase != LogPhase::kAppending ||
      reply.entry_number != log.next_entry_number)
    return actions;
  log.phase = LogPhase::kIdle;
  const ClaimBatch batch = std::exchange(log.pending_batch, {});
  const bool conflict =
      reply.status == AppendStatus::kConflict && reply.existing.has_value();
  if (reply.status == AppendStatus::kCreated) {
    ApplyLogEntry(state, log, batch);
    DeliverKnownOwners(state, log, batch.claims, now, actions);
  } else if (conflict && IsSameBatch(*reply.existing, batch)) {
    ApplyLogEntry(state, log, *reply.existing);
    DeliverKnownOwners(state, log, batch.claims, now, actions);
  } else if (conflict) {
    ApplyLogEntry(state, log, *reply.existing);
    RequeueClaims(log, batch);
  } else if (reply.status == AppendStatus::kNoReply) {
    // The next append uses the same entry number. If it succeeds, this append
    // can no longer take effect. If this append has taken effect, the next one
    // gets a conflict and this append's entry in the reply.
    DeliverVerdictToAll(state, batch.claims, ClaimVerdict::kInDoubt, now,
                        actions);
  } else {
    DeliverVerdictToAll(state, batch.claims, ClaimVerdict::kUnavailable, now,
                        actions);
    FailQueuedClaims(state, log, now, actions);
  }
  AdvanceShardLog(state, reply.shard, now, actions);
  return actions;
}

Actions OnReadLogReply(ClaimState& state,
                       const ReadLogReply& reply,
                       base::TimePoint now) {
  Actions actions;
  ShardLog& log = state.shards[reply.shard];
  if (log.phase != LogPhase::kReading)
    return actions;
  log.phase = LogPhase::kIdle;
  if (!reply.success) {
    FailQueuedClaims(state, log, now, actions);
    return actions;
  }
  for (const ClaimBatch& entry : reply.entries)
    ApplyLogEntry(state, log, entry);
  if (state.known_claims > kMaxKnownClaims) {
    UnloadLog(state, log);
    FailQueuedClaims(state, log, now, actions);
    return actions;
  }
  log.loaded = !reply.has_more;
  AdvanceShardLog(state, reply.shard, now, actions);
  return actions;
}

}  // namespace poplarfork::claim
