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
struct World {
  FakeStore store;
  std::vector<Node> nodes;
  std::deque<CallInFlight> calls;
  // Creates whose sender was told that there is no reply. Each of them may
  // still take effect.
  std::deque<CallInFlight> late_creates;
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

inline StoreAnswer ReadItems(const FakeStore& store, const StoreCall& call) {
  StoreAnswer answer{call.id, StoreAnswerKind::kAbsent, {}};
  for (auto item = store.lower_bound(call.key);
       item != store.end() && item->first < call.end_key; ++item) {
    if (call.limit > 0 && answer.items.size() == call.limit)
      break;
    answer.items.push_back(StoreItem{item->first, item->second});
  }
  if (!answer.items.empty())
    answer.kind = StoreAnswerKind::kFound;
  return answer;
}

inline StoreAnswer Execute(FakeStore& store, const StoreCall& call) {
  StoreAnswer answer{call.id, StoreAnswerKind::kAbsent, {}};
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
      answer.kind =
          created ? StoreAnswerKind::kCreated : StoreAnswerKind::kConflict;
      return answer;
    }
    case StoreCallKind::kDeleteRange:
      store.erase(store.lower_bound(call.key), store.lower_bound(call.end_key));
      answer.kind = StoreAnswerKind::kDeleted;
      return answer;
  }
  return answer;
}

inline std::size_t IndexOf(const World& world, const base::DaemonId& id) {
  for (std::size_t i = 0; i < world.nodes.size(); ++i) {
    if (world.nodes[i].member.id == id)
      return i;
  }
  return world.nodes.size();
}

// Records the actions of a node: calls and messages become in flight, results
// and refused forks are stored.
inline void Collect(World& world, std::size_t index, const Actions& actions) {
  const Node& node = world.nodes[index];
  for (const Action& action : actions) {
    if (const auto* call = std::get_if<StoreCall>(&action))
      world.calls.push_back(CallInFlight{index, node.run, *call});
    if (const auto* message = std::get_if<OutgoingMessage>(&action)) {
      world.messages.push_back(MessageInFlight{
          index, IndexOf(world, message->peer), node.run, *message});
    }
    if (const auto* result = std::get_if<PublishResult>(&action))
      world.results.push_back(*result);
    if (std::holds_alternative<ForkRefused>(action))
      ++world.forks;
  }
}

inline void Deliver(World& world, std::size_t index, const Event& event) {
  Node& node = world.nodes[index];
  const base::Revision before = node.state.install.configuration.revision;
  const Actions actions = Handle(node.state, event, world.now, world.rng);
  if (node.state.install.configuration.revision < before)
    ++world.reverts;
  Collect(world, index, actions);
}

// Starts or restarts a node without a configuration.
inline void Start(World& world, std::size_t index) {
  Node& node = world.nodes[index];
  node.state = MakeReleaseState(node.member, world.settings, world.now);
  ++node.run;
  std::vector<Member> others;
  for (const Node& other : world.nodes) {
    if (other.member.id != node.member.id)
      others.push_back(other.member);
  }
  Deliver(world, index, MembersChanged{others});
  Deliver(world, index,
          VmListSeen{static_cast<std::uint32_t>(others.size()), 2});
  Deliver(world, index, Started{});
}

// Returns a fleet of nodes that are not started. Node i has the
// address 10.0.<i>.1; the nodes are in the data centres a and b alternately.
inline World MakeWorld(std::size_t nodes, std::uint64_t seed) {
  World world;
  world.rng.seed(seed);
  for (std::size_t i = 0; i < nodes; ++i) {
    Node node;
    node.member.id.value = "10.0." + std::to_string(i) + ".1:7400";
    node.member.data_centre.value = i % 2 == 0 ? "a" : "b";
    world.nodes.push_back(node);
  }
  return world;
}

inline void StartAll(World& world) {
  for (std::size_t i = 0; i < world.nodes.size(); ++i)
    Start(world, i);
}

inline void Advance(World& world, base::Duration step) {
  world.now += step;
  for (std::size_t i = 0; i < world.nodes.size(); ++i)
    Deliver(world, i, Tick{});
}

// Ends the call at `position` with the store's reply, or with no reply.
inline void AnswerCall(World& world, std::size_t position, bool answered) {
  const CallInFlight flight = world.calls[position];
  world.calls.erase(world.calls.begin() +
                    static_cast<std::ptrdiff_t>(position));
  StoreAnswer answer{flight.call.id, StoreAnswerKind::kNoAnswer, {}};
  if (answered)
    answer = Execute(world.store, flight.call);
  else if (flight.call.kind == StoreCallKind::kCreate)
    world.late_creates.push_back(flight);
  if (world.nodes[flight.node].run == flight.run)
    Deliver(world, flight.node, answer);
}

// Returns true if the store replies to the call now; a watch gets no reply
// until a key exists.
inline bool IsAnswerable(const World& world, const CallInFlight& flight) {
  return flight.call.kind != StoreCallKind::kWatch ||
         ReadItems(world.store, flight.call).kind == StoreAnswerKind::kFound;
}

inline void DeliverMessage(World& world, std::size_t position) {
  const MessageInFlight flight = world.messages[position];
  world.messages.erase(world.messages.begin() +
                       static_cast<std::ptrdiff_t>(position));
  if (flight.to >= world.nodes.size())
    return;
  Deliver(world, flight.to,
          IncomingMessage{world.nodes[flight.from].member, flight.message.kind,
                          flight.message.payload});
}

// Reports the installed revision of every node to every other one, as probes
// do.
inline void ExchangeRevisions(World& world) {
  for (std::size_t from = 0; from < world.nodes.size(); ++from) {
    const base::Revision revision =
        world.nodes[from].state.install.configuration.revision;
    for (std::size_t to = 0; to < world.nodes.size(); ++to) {
      if (from != to) {
        Deliver(world, to, PeerRevision{world.nodes[from].member.id, revision});
      }
    }
  }
}

// Delivers all messages and ends all store calls. If `is_store_up`, the calls
// get a reply, and watches stay open until a key exists. Returns false if the
// messages and calls do not come to an end.
inline bool Settle(World& world, bool store_up) {
  constexpr int kMostSteps = 20000;
  for (int step = 0; step < kMostSteps; ++step) {
    if (!world.messages.empty()) {
      DeliverMessage(world, 0);
      continue;
    }
    const auto call =
        std::ranges::find_if(world.calls, [&](const CallInFlight& flight) {
          return !store_up || IsAnswerable(world, flight);
        });
    if (call == world.calls.end())
      return true;
    AnswerCall(world, static_cast<std::size_t>(call - world.calls.begin()),
               store_up);
  }
  return false;
}

// Advances the time by `steps` times 300 ms and settles the fleet in between.
// Returns false if it does not settle.
inline bool Run(World& world, int steps, bool store_up) {
  for (int step = 0; step < steps; ++step) {
    if (!Settle(world, store_up))
      return false;
    ExchangeRevisions(world);
    Advance(world, std::chrono::milliseconds(300));
  }
  return Settle(world, store_up);
}

inline PublishRequest AccountNote(std::uint64_t id,
                                  const std::string& note_id,
                                  const std::string& account) {
  return PublishRequest{
      {id}, {note_id}, "add: {accounts: [{name: " + account + "}]}", 1000};
}

inline const PublishResult* FindResult(const World& world, std::uint64_t id) {
  for (const PublishResult& result : world.results) {
    if (result.id.value == id)
      return &result;
  }
  return nullptr;
}

// Returns the entries of the log in the store, in order.
inline std::vector<proto::LogEntry> Log(const FakeStore& store) {
  std::vector<proto::LogEntry> entries;
  for (auto item = store.lower_bound(EntryKey({0}));
       item != store.end() && item->first < EndOfLog(); ++item) {
    entries.emplace_back();
    entries.back().ParseFromString(item->second);
  }
  return entries;
}

inline std::size_t CountInLog(const FakeStore& store,
                              const std::string& note_id) {
  const std::vector<proto::LogEntry> log = Log(store);
  return static_cast<std::size_t>(
      std::ranges::count_if(log, [&](const proto::LogEntry& entry) {
        return entry.note_id() == note_id;
      }));
}

inline std::uint64_t InstalledAt(const World& world, std::size_t index) {
  return world.nodes[index].state.install.configuration.revision.value;
}

// Returns a description of the first invariant that the fleet violates, or an
// empty string. The invariants must hold at every moment.
inline std::string Violation(const World& world) {
  if (world.forks > 0)
    return "fork";
  if (world.reverts > 0)
    return "revert";
  const std::vector<proto::LogEntry> log = Log(world.store);
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
  for (const Node& node : world.nodes) {
    const note::Configuration& installed = node.state.install.configuration;
    const auto found = hashes.find(installed.revision.value);
    if (installed.revision.value > 0 && found == hashes.end())
      return "a daemon installed a revision that is not in the log";
    if (found != hashes.end() && found->second != installed.hash)
      return "the hash of an installed revision differs from the log";
    if (node.state.counters.without_effect > 0)
      return "an entry was installed without effect";
  }
  for (const PublishResult& result : world.results) {
    if (result.outcome != PublishOutcome::kAccepted)
      continue;
    if (CountInLog(world.store, result.note_id.value) != 1)
      return "an accepted note is not in the log exactly once";
  }
  return "";
}

}  // namespace poplarfork::release
