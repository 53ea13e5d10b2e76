#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/hash_func.h"
#include "note/chain_hash_func.h"
#include "release/key_func.h"
#include "release/release_func.h"

namespace poplarfork::release {

// Keys and values of a simulated store. The store itself has no faults; the
// simulated fleet decides which calls reach it and which replies are delivered.
using FakeStore = std::map<std::string, std::string>;

struct CallInFlight {
  std::size_t node = 0;
  // The run of the node that sent the call. A restarted node gets no replies to
  // calls of an earlier run.
  std::uint64_t run = 0;
  StoreCall call;
};

struct MessageInFlight {
  std::size_t from = 0;
  std::size_t to = 0;
  std::uint64_t run = 0;
  OutgoingMessage message;
};

struct Node {
  Member member;
  ReleaseState state;
  std::uint64_t run = 0;
};

// Daemons, a store, and the calls and messages in flight between them.
struct SimulatedFleet {
  FakeStore store;
  std::vector<Node> nodes;
  std::deque<CallInFlight> calls;
  // Creates whose sender was told that there is no reply. Each of them may
  // still take effect.
  std::deque<CallInFlight> unanswered_creates;
  std::deque<MessageInFlight> messages;
  std::vector<PublishResult> results;
  // Entries that daemons refused as forks.
  std::uint64_t forks = 0;
  // Decreases of an installed revision.
  std::uint64_t reverts = 0;
  base::TimePoint now;
  base::Rng rng;
  ReleaseSettings settings;
};

inline StoreReply ReadItems(const FakeStore& store, const StoreCall& call) {
  StoreReply reply{call.id, StoreReplyKind::kAbsent, {}};
  for (auto item = store.lower_bound(call.key);
       item != store.end() && item->first < call.end_key; ++item) {
    if (call.limit > 0 && reply.items.size() == call.limit)
      break;
    reply.items.push_back(StoreItem{item->first, item->second});
  }
  if (!reply.items.empty())
    reply.kind = StoreReplyKind::kFound;
  return reply;
}

inline StoreReply ExecuteCall(FakeStore& store, const StoreCall& call) {
  StoreReply reply{call.id, StoreReplyKind::kAbsent, {}};
  switch (call.kind) {
    case StoreCallKind::kReadRange:
    case StoreCallKind::kListKeys:
    case StoreCallKind::kWatch:
      return ReadItems(store, call);
    case StoreCallKind::kCreate: {
      const bool guarded =
          call.guard_key.empty() || store.contains(call.guard_key);
      const bool created =
          guarded && store.emplace(call.key, call.value).second;
      reply.kind =
          created ? StoreReplyKind::kCreated : StoreReplyKind::kConflict;
      return reply;
    }
    case StoreCallKind::kDeleteRange:
      store.erase(store.lower_bound(call.key), store.lower_bound(call.end_key));
      reply.kind = StoreReplyKind::kDeleted;
      return reply;
  }
  return reply;
}

inline std::size_t IndexOf(const SimulatedFleet& fleet,
                           const base::DaemonId& id) {
  for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
    if (fleet.nodes[i].member.id == id)
      return i;
  }
  return fleet.nodes.size();
}

// Records the actions of a node: calls and messages become in flight, results
// and refused forks are stored.
inline void CollectActions(SimulatedFleet& fleet,
                           std::size_t index,
                           const Actions& actions) {
  const Node& node = fleet.nodes[index];
  for (const Action& action : actions) {
    if (const auto* call = std::get_if<StoreCall>(&action))
      fleet.calls.push_back(CallInFlight{index, node.run, *call});
    if (const auto* message = std::get_if<OutgoingMessage>(&action)) {
      fleet.messages.push_back(MessageInFlight{
          index, IndexOf(fleet, message->peer), node.run, *message});
    }
    if (const auto* result = std::get_if<PublishResult>(&action))
      fleet.results.push_back(*result);
    if (std::holds_alternative<ForkRefused>(action))
      ++fleet.forks;
  }
}

inline void DeliverEvent(SimulatedFleet& fleet,
                         std::size_t index,
                         const Event& event) {
  Node& node = fleet.nodes[index];
  const base::Revision before = node.state.install.configuration.revision;
  const Actions actions = HandleEvent(node.state, event, fleet.now, fleet.rng);
  if (node.state.install.configuration.revision < before)
    ++fleet.reverts;
  CollectActions(fleet, index, actions);
}

// Starts or restarts a node without a configuration.
inline void StartNode(SimulatedFleet& fleet, std::size_t index) {
  Node& node = fleet.nodes[index];
  node.state = MakeReleaseState(node.member, fleet.settings, fleet.now);
  ++node.run;
  std::vector<Member> others;
  for (const Node& other : fleet.nodes) {
    if (other.member.id != node.member.id)
      others.push_back(other.member);
  }
  DeliverEvent(fleet, index, MembersChanged{others});
  DeliverEvent(fleet, index,
               VmListUpdated{static_cast<std::uint32_t>(others.size()), 2});
  DeliverEvent(fleet, index, Started{});
}

// Returns a fleet of nodes that are not started. Node i has the
// address 10.0.<i>.1; the nodes are in the data centres a and b alternately.
inline SimulatedFleet MakeFleet(std::size_t nodes, std::uint64_t seed) {
  SimulatedFleet fleet;
  fleet.rng.seed(seed);
  for (std::size_t i = 0; i < nodes; ++i) {
    Node node;
    node.member.id.value = "10.0." + std::to_string(i) + ".1:7400";
    node.member.data_centre.value = i % 2 == 0 ? "a" : "b";
    fleet.nodes.push_back(node);
  }
  return fleet;
}

inline void StartAllNodes(SimulatedFleet& fleet) {
  for (std::size_t i = 0; i < fleet.nodes.size(); ++i)
    StartNode(fleet, i);
}

inline void AdvanceTime(SimulatedFleet& fleet, base::Duration step) {
  fleet.now += step;
  for (std::size_t i = 0; i < fleet.nodes.size(); ++i)
    DeliverEvent(fleet, i, Tick{});
}

// Ends the call at `position` with the store's reply, or with no reply.
inline void EndCall(SimulatedFleet& fleet,
                    std::size_t position,
                    bool answered) {
  const CallInFlight in_flight = fleet.calls[position];
  fleet.calls.erase(fleet.calls.begin() +
                    static_cast<std::ptrdiff_t>(position));
  StoreReply reply{in_flight.call.id, StoreReplyKind::kNoReply, {}};
  if (answered)
    reply = ExecuteCall(fleet.store, in_flight.call);
  else if (in_flight.call.kind == StoreCallKind::kCreate)
    fleet.unanswered_creates.push_back(in_flight);
  if (fleet.nodes[in_flight.node].run == in_flight.run)
    DeliverEvent(fleet, in_flight.node, reply);
}

// Returns true if the store replies to the call now; a watch gets no reply
// until a key exists.
inline bool IsAnswerable(const SimulatedFleet& fleet,
                         const CallInFlight& in_flight) {
  return in_flight.call.kind != StoreCallKind::kWatch ||
         ReadItems(fleet.store, in_flight.call).kind == StoreReplyKind::kFound;
}

inline void DeliverMessage(SimulatedFleet& fleet, std::size_t position) {
  const MessageInFlight in_flight = fleet.messages[position];
  fleet.messages.erase(fleet.messages.begin() +
                       static_cast<std::ptrdiff_t>(position));
  if (in_flight.to >= fleet.nodes.size())
    return;
  DeliverEvent(
      fleet, in_flight.to,
      IncomingMessage{fleet.nodes[in_flight.from].member,
                      in_flight.message.kind, in_flight.message.payload});
}

// Reports the installed revision of every node to every other one, as probes
// do.
inline void ExchangeRevisions(SimulatedFleet& fleet) {
  for (std::size_t from = 0; from < fleet.nodes.size(); ++from) {
    const base::Revision revision =
        fleet.nodes[from].state.install.configuration.revision;
    for (std::size_t to = 0; to < fleet.nodes.size(); ++to) {
      if (from != to) {
        DeliverEvent(fleet, to,
                     PeerRevision{fleet.nodes[from].member.id, revision});
      }
    }
  }
}

// Delivers all messages and ends all store calls. If `is_store_up`, the calls
// get a reply, and watches stay open until a key exists. Returns false if the
// messages and calls do not come to an end.
inline bool Settle(SimulatedFleet& fleet, bool is_store_up) {
  constexpr int kMaxSteps = 20000;
  for (int step = 0; step < kMaxSteps; ++step) {
    if (!fleet.messages.empty()) {
      DeliverMessage(fleet, 0);
      continue;
    }
    const auto call =
        std::ranges::find_if(fleet.calls, [&](const CallInFlight& in_flight) {
          return !is_store_up || IsAnswerable(fleet, in_flight);
        });
    if (call == fleet.calls.end())
      return true;
    EndCall(fleet, static_cast<std::size_t>(call - fleet.calls.begin()),
            is_store_up);
  }
  return false;
}

// Advances the time by `steps` times 300 ms and settles the fleet in between.
// Returns false if it does not settle.
inline bool RunSteps(SimulatedFleet& fleet, int steps, bool is_store_up) {
  for (int step = 0; step < steps; ++step) {
    if (!Settle(fleet, is_store_up))
      return false;
    ExchangeRevisions(fleet);
    AdvanceTime(fleet, std::chrono::milliseconds(300));
  }
  return Settle(fleet, is_store_up);
}

inline PublishRequest MakeAccountNote(std::uint64_t id,
                                      const std::string& note_id,
                                      const std::string& account) {
  return PublishRequest{
      {id}, {note_id}, "add: {accounts: [{name: " + account + "}]}", 1000};
}

inline const PublishResult* FindResult(const SimulatedFleet& fleet,
                                       std::uint64_t id) {
  for (const PublishResult& result : fleet.results) {
    if (result.id.value == id)
      return &result;
  }
  return nullptr;
}

// Returns the entries of the log in the store, in order.
inline std::vector<proto::LogEntry> ReadLog(const FakeStore& store) {
  std::vector<proto::LogEntry> entries;
  for (auto item = store.lower_bound(EntryKey({0}));
       item != store.end() && item->first < LogRangeEnd(); ++item) {
    entries.emplace_back();
    entries.back().ParseFromString(item->second);
  }
  return entries;
}

inline std::size_t CountInLog(const FakeStore& store,
                              const std::string& note_id) {
  const std::vector<proto::LogEntry> log = ReadLog(store);
  return static_cast<std::size_t>(
      std::ranges::count_if(log, [&](const proto::LogEntry& entry) {
        return entry.note_id() == note_id;
      }));
}

inline std::uint64_t InstalledAt(const SimulatedFleet& fleet,
                                 std::size_t index) {
  return fleet.nodes[index].state.install.configuration.revision.value;
}

// Returns a description of the first invariant that the fleet violates, or an
// empty string. The invariants must hold at every moment.
inline std::string FindViolation(const SimulatedFleet& fleet) {
  if (fleet.forks > 0)
    return "fork";
  if (fleet.reverts > 0)
    return "revert";
  const std::vector<proto::LogEntry> log = ReadLog(fleet.store);
  std::string hash = log.empty() ? "" : log.front().predecessor_hash();
  std::map<std::uint64_t, std::string> hashes;
  std::map<std::string, int> ids;
  for (const proto::LogEntry& entry : log) {
    if (entry.predecessor_hash() != hash)
      return "the predecessor hash of a log entry does not match";
    if (++ids[entry.note_id()] > 1)
      return "a note id is in the log twice";
    hash = note::ChainHash(entry);
    hashes[entry.revision()] = hash;
  }
  for (const Node& node : fleet.nodes) {
    const note::Configuration& installed = node.state.install.configuration;
    const auto found = hashes.find(installed.revision.value);
    if (installed.revision.value > 0 && found == hashes.end())
      return "a daemon installed a revision that is not in the log";
    if (found != hashes.end() && found->second != installed.hash)
      return "the hash of an installed revision differs from the log";
    if (node.state.counters.without_effect > 0)
      return "an entry was installed without effect";
  }
  for (const PublishResult& result : fleet.results) {
    if (result.outcome != PublishOutcome::kAccepted)
      continue;
    if (CountInLog(fleet.store, result.note_id.value) != 1)
      return "an accepted note is not in the log exactly once";
  }
  return "";
}

}  // namespace poplarfork::release
