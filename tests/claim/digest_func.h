#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "base/hash_func.h"
#include "tests/claim/world_type.h"

namespace poplarfork::claim {

// Usual size of a daemon's digest in bytes, which is reserved in advance.
inline constexpr std::size_t kDigestBytes = 1024;

using WorldHash = std::pair<std::uint64_t, std::uint64_t>;

inline void AppendToDigest(std::string& text, std::uint64_t number) {
  text.append(reinterpret_cast<const char*>(&number), sizeof(number));
}

inline void AppendToDigest(std::string& text, const std::string& part) {
  AppendToDigest(text, part.size());
  text += part;
}

inline void AppendToDigest(std::string& text, base::TimePoint time) {
  AppendToDigest(text,
                 static_cast<std::uint64_t>(time.time_since_epoch().count()));
}

inline void AppendToDigest(std::string& text, const Claimant& claimant) {
  AppendToDigest(text, claimant.daemon.value);
  AppendToDigest(text, claimant.incarnation.value);
  AppendToDigest(text, claimant.attempt);
}

inline void AppendToDigest(std::string& text, const RunKey& key) {
  AppendToDigest(text, key.low);
  AppendToDigest(text, static_cast<std::uint64_t>(key.minted));
}

inline void AppendToDigest(std::string& text, const Claim& claim) {
  AppendToDigest(text, claim.key);
  AppendToDigest(text, claim.claimant);
}

inline void AppendToDigest(std::string& text, const ClaimBatch& batch) {
  AppendToDigest(text, batch.writer.value);
  AppendToDigest(text, batch.writer_incarnation.value);
  AppendToDigest(text, batch.batch_number);
  for (const Claim& claim : batch.claims)
    AppendToDigest(text, claim);
  text += '|';
}

inline void AppendToDigest(std::string& text, const RunRecord& record) {
  AppendToDigest(text, static_cast<std::uint64_t>(record.phase));
  AppendToDigest(text, record.attempt);
  AppendToDigest(text, record.claimed_at);
  AppendToDigest(text, static_cast<std::uint64_t>(record.direct_append));
  AppendToDigest(text, record.request_count);
  for (const Waiter& waiter : record.waiters)
    AppendToDigest(text, waiter.token.value);
  text += '|';
  AppendToDigest(text, record.running_request.value);
  AppendToDigest(text, static_cast<std::uint64_t>(record.running_caller_gone));
  AppendToDigest(text, static_cast<std::uint64_t>(record.sent));
  AppendToDigest(text, record.replacement_key);
  AppendToDigest(text, static_cast<std::uint64_t>(record.outcome));
}

inline void AppendToDigest(std::string& text, const ShardLog& log) {
  AppendToDigest(text, static_cast<std::uint64_t>(log.phase));
  AppendToDigest(text, static_cast<std::uint64_t>(log.loaded));
  AppendToDigest(text, log.next_entry_number);
  AppendToDigest(text, log.next_append_at);
  for (const Claim& claim : log.queue)
    AppendToDigest(text, claim);
  AppendToDigest(text, log.pending_batch);
}

// Returns everything on which later decisions of the daemon depend, except the
// log entries that it knows, because they are a prefix of the store's log.
inline std::string DigestOf(const ClaimState& state) {
  std::string text;
  text.reserve(kDigestBytes);
  AppendToDigest(text, state.key_generator.incarnation.value);
  AppendToDigest(text, state.key_generator.last_counter);
  AppendToDigest(text, state.last_attempt);
  AppendToDigest(text, state.last_batch_number);
  AppendToDigest(text, static_cast<std::uint64_t>(state.store_reachable));
  for (const LiveDaemon& daemon : state.live_daemons) {
    AppendToDigest(text, daemon.id.value);
    AppendToDigest(text, daemon.incarnation.value);
  }
  std::vector<RunKey> keys;
  keys.reserve(state.records.size());
  for (const auto& [key, record] : state.records)
    keys.push_back(key);
  std::ranges::sort(keys);
  for (const RunKey& key : keys) {
    AppendToDigest(text, key);
    AppendToDigest(text, state.records.at(key));
  }
  for (const RunKey& key : state.claiming_keys)
    AppendToDigest(text, key);
  for (const auto& [shard, log] : state.shards) {
    AppendToDigest(text, shard.value);
    AppendToDigest(text, log);
  }
  return text;
}

inline std::string DigestOf(const Message& message) {
  std::string text;
  AppendToDigest(text, static_cast<std::uint64_t>(message.kind));
  AppendToDigest(text, static_cast<std::uint64_t>(message.from));
  AppendToDigest(text, static_cast<std::uint64_t>(message.to));
  AppendToDigest(text, message.incarnation.value);
  AppendToDigest(text, static_cast<std::uint64_t>(message.timed_out));
  AppendToDigest(text, message.claim_message.claim);
  AppendToDigest(text, message.claim_result.claim);
  AppendToDigest(text,
                 static_cast<std::uint64_t>(message.claim_result.verdict));
  AppendToDigest(text, message.claim_result.owner);
  AppendToDigest(text, message.relay.incarnation.value);
  AppendToDigest(text, message.relay.attempt);
  AppendToDigest(text, message.send);
  AppendToDigest(text, static_cast<std::uint64_t>(message.answer.outcome));
  AppendToDigest(text, message.answer.minted_key);
  AppendToDigest(text, message.append.entry_number);
  AppendToDigest(text, message.append.batch);
  AppendToDigest(text, message.read_log.first_entry_number);
  return text;
}

inline WorldHash ComputeWorldHash(const World& world) {
  std::string text;
  text.reserve(kDigestBytes * kDaemonCount);
  for (const Node& node : world.nodes)
    AppendToDigest(text, node.alive ? node.digest : "dead");
  std::vector<const std::string*> messages;
  messages.reserve(world.messages.size());
  for (const auto& message : world.messages)
    messages.push_back(&message->digest);
  std::ranges::sort(messages, {}, [](const auto* digest) { return *digest; });
  for (const std::string* digest : messages)
    AppendToDigest(text, *digest);
  for (const Run& run : world.runs) {
    AppendToDigest(text, run.token.value);
    AppendToDigest(text, static_cast<std::uint64_t>(run.sent));
  }
  for (const Send& send : world.sends) {
    AppendToDigest(text, static_cast<std::uint64_t>(send.order));
    AppendToDigest(text, static_cast<std::uint64_t>(send.daemon));
    AppendToDigest(text, static_cast<std::uint64_t>(send.relayed_to));
    AppendToDigest(text, static_cast<std::uint64_t>(send.state));
    AppendToDigest(text, static_cast<std::uint64_t>(send.uses_replacement));
  }
  for (const Order& order : world.orders) {
    AppendToDigest(text, static_cast<std::uint64_t>(order.runs));
    AppendToDigest(text, order.replacement_key);
  }
  for (const auto& [shard, log] : world.logs) {
    for (const ClaimBatch& batch : log)
      AppendToDigest(text, batch);
  }
  AppendToDigest(text, world.now);
  AppendToDigest(text, static_cast<std::uint64_t>(world.faults_left));
  return {base::StableHash(text), base::RendezvousWeight("second", text)};
}

}  // namespace poplarfork::claim
