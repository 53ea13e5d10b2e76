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
void Deliver(ClaimState& state,
             const ClaimResult& result,
             base::TimePoint now,
             Actions& actions) {
  const Claimant& claimant = result.entry.claimant;
  if (claimant.daemon == state.minter.self)
    ApplyClaimResult(state, result, now, actions);
  else
    actions.emplace_back(
        SendClaimResult{.to = claimant.daemon, .result = result});
}

// Delivers `verdict`, without an owner, to the claimants of `claims`. `claims`
// must not be part of `state`, because a result may lead to a new claim, which
// changes `state`.
template <class Claims>
void DeliverAll(ClaimState& state,
                const Claims& claims,
                ClaimVerdict verdict,
                base::TimePoint now,
                Actions& actions) {
  for (const ClaimEntry& entry : claims)
    Deliver(state, {.entry = entry, .verdict = verdict}, now, actions);
}

// Delivers the owners of those `claims` whose keys are in the log, and returns
// the other claims.
template <class Claims>
std::deque<ClaimEntry> DeliverKnown(ClaimState& state,
                                    const ShardLog& log,
                                    const Claims& claims,
                                    base::TimePoint now,
                                    Actions& actions) {
  std::deque<ClaimEntry> unknown;
  for (const ClaimEntry& entry : claims) {
    const auto found = log.owners.find(entry.key);
    if (found == log.owners.end()) {
      unknown.push_back(entry);
      continue;
    }
    const ClaimResult result{.entry = entry,
                             .verdict = ClaimVerdict::kOwned,
                             .owner = found->second};
    Deliver(state, result, now, actions);
  }
  return unknown;
}

// Adds the log entry with the number `log.next_entry_number` to `log`. The
// first claim of a key in the log owns the key.
void Learn(ClaimState& state, ShardLog& log, const ClaimBatch& batch) {
  for (const ClaimEntry& entry : batch.claims) {
    const bool first = log.owners.emplace(entry.key, entry.claimant).second;
    state.known_claims += first ? 1 : 0;
  }
  ++log.next;
}

bool SameBatch(const ClaimBatch& left, const ClaimBatch& right) {
  return left.writer == right.writer && left.incarnation == right.incarnation &&
         left.number == right.number;
}

// Answers all queued claims of a shard as unavailable.
void FailQueue(ClaimState& state,
               ShardLog& log,
               base::TimePoint now,
               Actions& actions) {
  const std::deque<ClaimEntry> queue = std::exchange(log.queue, {});
  DeliverAll(state, queue, ClaimVerdict::kUnavailable, now, actions);
}

void StartAppend(ClaimState& state,
                 Shard shard,
                 base::TimePoint now,
                 Actions& actions) {
  ShardLog& log = state.shards[shard];
  log.batch = ClaimBatch{.writer = state.minter.self,
                         .incarnation = state.minter.incarnation,
                         .number = ++state.last_batch};
  while (!log.queue.empty() && log.batch.claims.size() < kMaxBatch) {
    log.batch.claims.push_back(std::move(log.queue.front()));
    log.queue.pop_front();
  }
  log.phase = LogPhase::kAppending;
  log.next_append_at = now + kAppendInterval;
  actions.emplace_back(
      AppendBatch{.shard = shard, .number = log.next, .batch = log.batch});
}

void StartRead(Shard shard, ShardLog& log, Actions& actions) {
  log.phase = LogPhase::kReading;
  actions.emplace_back(ReadLog{.shard = shard, .from = log.next});
}

// Drops a log from memory, because it exceeds the limit on known claims.
void Unload(ClaimState& state, ShardLog& log) {
  state.known_claims -= log.owners.size();
  log.owners.clear();
  log.next = 1;
  log.loaded = false;
}

// Puts the claims of a batch that was not appended back at the front of the
// queue, and allows the next append at once.
void Requeue(ShardLog& log, const ClaimBatch& batch) {
  log.queue.insert(log.queue.begin(), batch.claims.begin(), batch.claims.end());
  log.next_append_at = {};
}

}  // namespace

base::DaemonId CollectorOf(const ClaimState& state, Shard shard) {
  const std::string key = "claims/" + std::to_string(shard.value);
  base::DaemonId best = state.minter.self;
  std::uint64_t best_weight = base::RendezvousWeight(key, best.value);
  for (const LiveDaemon& daemon : state.live) {
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
  const std::vector<ClaimEntry> claims = {message.entry};
  if (DeliverKnown(state, log, claims, now, actions).empty())
    return;
  const bool full =
      log.queue.size() >= kMaxQueue || state.known_claims >= kMaxKnownClaims;
  if (full || !state.store_reachable) {
    DeliverAll(state, claims, ClaimVerdict::kUnavailable, now, actions);
    return;
  }
  log.queue.push_back(message.entry);
  PumpShard(state, message.shard, now, actions);
}

void PumpShard(ClaimState& state,
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
  const std::deque<ClaimEntry> queue = std::exchange(log.queue, {});
  std::deque<ClaimEntry> rest = DeliverKnown(state, log, queue, now, actions);
  log.queue.insert(log.queue.begin(), rest.begin(), rest.end());
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

Actions OnAppendAnswered(ClaimState& state,
                         const AppendAnswered& answer,
                         base::TimePoint now) {
  Actions actions;
  ShardLog& log = state.shards[answer.shard];
  if (log.phase != LogPhase::kAppending || answer.number != log.next)
    return actions;
  log.phase = LogPhase::kIdle;
  const ClaimBatch batch = std::exchange(log.batch, {});
  const bool conflict =
      answer.status == AppendStatus::kConflict && answer.found.has_value();
  if (answer.status == AppendStatus::kCreated) {
    Learn(state, log, batch);
    DeliverKnown(state, log, batch.claims, now, actions);
  } else if (conflict && SameBatch(*answer.found, batch)) {
    Learn(state, log, *answer.found);
    DeliverKnown(state, log, batch.claims, now, actions);
  } else if (conflict) {
    Learn(state, log, *answer.found);
    Requeue(log, batch);
  } else if (answer.status == AppendStatus::kNoAnswer) {
    // The next append uses the same entry number. Either it succeeds, and this
    // append can no longer take effect, or it conflicts with the entry of this
    // append and finds it.
    DeliverAll(state, batch.claims, ClaimVerdict::kInDoubt, now, actions);
  } else {
    DeliverAll(state, batch.claims, ClaimVerdict::kUnavailable, now, actions);
    FailQueue(state, log, now, actions);
  }
  PumpShard(state, answer.shard, now, actions);
  return actions;
}

Actions OnLogRead(ClaimState& state, const LogRead& read, base::TimePoint now) {
  Actions actions;
  ShardLog& log = state.shards[read.shard];
  if (log.phase != LogPhase::kReading)
    return actions;
  log.phase = LogPhase::kIdle;
  if (!read.ok) {
    FailQueue(state, log, now, actions);
    return actions;
  }
  for (const ClaimBatch& entry : read.entries)
    Learn(state, log, entry);
  if (state.known_claims > kMaxKnownClaims) {
    Unload(state, log);
    FailQueue(state, log, now, actions);
    return actions;
  }
  log.loaded = !read.more;
  PumpShard(state, read.shard, now, actions);
  return actions;
}

}  // namespace poplarfork::claim
