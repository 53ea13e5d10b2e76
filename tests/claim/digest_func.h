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
inline constexpr std::size_t kDigestSize = 1024;

using WorldHash = std::pair<std::uint64_t, std::uint64_t>;

inline void Put(std::string& text, std::uint64_t number) {
  text.append(reinterpret_cast<const char*>(&number), sizeof(number));
}

inline void Put(std::string& text, const std::string& part) {
  Put(text, part.size());
  text += part;
}

inline void Put(std::string& text, base::TimePoint time) {
  Put(text, static_cast<std::uint64_t>(time.time_since_epoch().count()));
}

inline void Put(std::string& text, const Claimant& claimant) {
  Put(text, claimant.daemon.value);
  Put(text, claimant.incarnation.value);
  Put(text, claimant.attempt);
}

inline void Put(std::string& text, const RunKey& key) {
  Put(text, key.low);
  Put(text, static_cast<std::uint64_t>(key.minted));
}

inline void Put(std::string& text, const ClaimEntry& entry) {
  Put(text, entry.key);
  Put(text, entry.claimant);
}

inline void Put(std::string& text, const ClaimBatch& batch) {
  Put(text, batch.writer.value);
  Put(text, batch.incarnation.value);
  Put(text, batch.number);
  for (const ClaimEntry& entry : batch.claims)
    Put(text, entry);
  text += '|';
}

inline void Put(std::string& text, const RunRecord& record) {
  Put(text, static_cast<std::uint64_t>(record.phase));
  Put(text, record.attempt);
  Put(text, record.claimed_at);
  Put(text, static_cast<std::uint64_t>(record.own_append));
  Put(text, record.sends);
  for (const Waiter& waiter : record.waiters)
    Put(text, waiter.token.value);
  text += '|';
  Put(text, record.runner.value);
  Put(text, static_cast<std::uint64_t>(record.runner_gone));
  Put(text, static_cast<std::uint64_t>(record.sent));
  Put(text, record.replacement);
  Put(text, static_cast<std::uint64_t>(record.outcome));
}

inline void Put(std::string& text, const ShardLog& log) {
  Put(text, static_cast<std::uint64_t>(log.phase));
  Put(text, static_cast<std::uint64_t>(log.loaded));
  Put(text, log.next);
  Put(text, log.next_append_at);
  for (const ClaimEntry& entry : log.queue)
    Put(text, entry);
  Put(text, log.batch);
}

// Returns everything on which later decisions of the daemon depend, except the
// log entries that it knows, because they are a prefix of the store's log.
inline std::string DigestOf(const ClaimState& state) {
  std::string text;
  text.reserve(kDigestSize);
  Put(text, state.minter.incarnation.value);
  Put(text, state.minter.last_counter);
  Put(text, state.last_attempt);
  Put(text, state.last_batch);
  Put(text, static_cast<std::uint64_t>(state.store_reachable));
  for (const LiveDaemon& daemon : state.live) {
    Put(text, daemon.id.value);
    Put(text, daemon.incarnation.value);
  }
  std::vector<RunKey> keys;
  keys.reserve(state.runs.size());
  for (const auto& [key, record] : state.runs)
    keys.push_back(key);
  std::ranges::sort(keys);
  for (const RunKey& key : keys) {
    Put(text, key);
    Put(text, state.runs.at(key));
  }
  for (const RunKey& key : state.claiming)
    Put(text, key);
  for (const auto& [shard, log] : state.shards) {
    Put(text, shard.value);
    Put(text, log);
  }
  return text;
}

inline std::string DigestOf(const Message& message) {
  std::string text;
  Put(text, static_cast<std::uint64_t>(message.kind));
  Put(text, static_cast<std::uint64_t>(message.from));
  Put(text, static_cast<std::uint64_t>(message.to));
  Put(text, message.incarnation.value);
  Put(text, static_cast<std::uint64_t>(message.given_up));
  Put(text, message.claim.entry);
  Put(text, message.result.entry);
  Put(text, static_cast<std::uint64_t>(message.result.verdict));
  Put(text, message.result.owner);
  Put(text, message.relay.incarnation.value);
  Put(text, message.relay.attempt);
  Put(text, message.send);
  Put(text, static_cast<std::uint64_t>(message.answer.outcome));
  Put(text, message.answer.minted_key);
  Put(text, message.append.number);
  Put(text, message.append.batch);
  Put(text, message.read.from);
  return text;
}

inline WorldHash HashOf(const World& world) {
  std::string text;
  text.reserve(kDigestSize * kDaemons);
  for (const Node& node : world.nodes)
    Put(text, node.alive ? node.digest : "dead");
  std::vector<const std::string*> messages;
  messages.reserve(world.messages.size());
  for (const auto& message : world.messages)
    messages.push_back(&message->digest);
  std::ranges::sort(messages, {}, [](const auto* digest) { return *digest; });
  for (const std::string* digest : messages)
    Put(text, *digest);
  for (const Run& run : world.runs) {
    Put(text, run.token.value);
    Put(text, static_cast<std::uint64_t>(run.sent));
  }
  for (const Send& send : world.sends) {
    Put(text, static_cast<std::uint64_t>(send.order));
    Put(text, static_cast<std::uint64_t>(send.daemon));
    Put(text, static_cast<std::uint64_t>(send.relayed_to));
    Put(text, static_cast<std::uint64_t>(send.state));
    Put(text, static_cast<std::uint64_t>(send.replacement));
  }
  for (const Order& order : world.orders) {
    Put(text, static_cast<std::uint64_t>(order.runs));
    Put(text, order.replacement);
  }
  for (const auto& [shard, log] : world.logs) {
    for (const ClaimBatch& batch : log)
      Put(text, batch);
  }
  Put(text, world.now);
  Put(text, static_cast<std::uint64_t>(world.faults_left));
  return {base::StableHash(text), base::RendezvousWeight("second", text)};
}

}  // namespace poplarfork::claim
