#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/rng_func.h"
#include "membership/limits_type.h"
#include "membership/membership_func.h"

namespace poplarfork::membership::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Size of what an envelope adds to a payload: sender, incarnation, data centre,
// kind, field headers and the 16-byte tag, with ZeroMQ's frame headers.
constexpr std::size_t kEnvelopeBytes = 80;

enum class RunMode { kRunning, kPaused, kStopped };

struct Node {
  Membership membership;
  base::Rng rng;
  RunMode mode = RunMode::kRunning;
  // Largest extra delay of ticks and messages; simulates a daemon that is short
  // of CPU time.
  base::Duration max_extra_delay = base::Duration(0);
  // Messages that arrived while the node was paused.
  std::vector<IncomingMessage> held_messages;
  std::uint64_t sent_messages = 0;
  std::uint64_t sent_bytes = 0;
};

struct Event {
  base::TimePoint due_at;
  // Orders events of the same time.
  std::uint64_t insertion_order = 0;
  std::size_t node = 0;
  // The message to deliver. A message without a kind stands for a tick.
  IncomingMessage message;
};

struct IsDueLater {
  bool operator()(const Event& left, const Event& right) const {
    return left.due_at != right.due_at
               ? left.due_at > right.due_at
               : left.insertion_order > right.insertion_order;
  }
};

// A change that one node reported.
struct Observation {
  base::TimePoint observed_at;
  std::size_t observer = 0;
  Change change;
};

// Daemons that exchange messages through one simulated network, which delays
// messages and can lose them.
struct SimulatedFleet {
  explicit SimulatedFleet(std::uint64_t seed) : rng(seed) {}

  base::Rng rng;
  base::TimePoint now;
  std::uint64_t next_insertion_order = 0;
  std::vector<Node> nodes;
  std::map<base::DaemonId, std::size_t> index_by_id;
  std::priority_queue<Event, std::vector<Event>, IsDueLater> events;
  std::vector<Observation> observations;
  // Returns true if a message from the first to the second node is lost.
  std::function<bool(std::size_t, std::size_t)> is_message_lost =
      [](std::size_t, std::size_t) { return false; };
};

inline base::DaemonId IdOf(std::size_t node) {
  return {"10.0." + std::to_string(node / 250) + "." +
          std::to_string(node % 250) + ":7946"};
}

inline base::DataCentreId DataCentreOf(std::size_t node, std::size_t count) {
  return {"dc" + std::to_string(node % count)};
}

inline void PushEvent(SimulatedFleet& fleet,
                      base::TimePoint due_at,
                      std::size_t node,
                      IncomingMessage message) {
  fleet.events.push(
      {due_at, fleet.next_insertion_order++, node, std::move(message)});
}

// Returns a random extra delay for the node.
inline base::Duration RandomLag(SimulatedFleet& fleet, const Node& node) {
  if (node.max_extra_delay.count() == 0)
    return base::Duration(0);
  return base::Duration(base::UniformBelow(
      fleet.rng, static_cast<std::uint64_t>(node.max_extra_delay.count())));
}

inline void StartNode(SimulatedFleet& fleet,
                      std::size_t node,
                      std::size_t data_centres,
                      std::uint64_t incarnation,
                      const std::vector<base::DaemonId>& seeds) {
  if (fleet.nodes.size() <= node)
    fleet.nodes.resize(node + 1);
  LocalMember self;
  self.daemon = IdOf(node);
  self.edge_address = "10.0." + std::to_string(node / 250) + "." +
                      std::to_string(node % 250) + ":8080";
  self.data_centre = DataCentreOf(node, data_centres);
  self.incarnation.value = incarnation;
  Node& started = fleet.nodes[node];
  const bool is_new = !fleet.index_by_id.contains(self.daemon);
  fleet.index_by_id[self.daemon] = node;
  started.mode = RunMode::kRunning;
  started.held_messages.clear();
  started.rng.seed(fleet.rng());
  started.membership = MakeMembership(self, seeds, fleet.now, started.rng);
  if (is_new)
    PushEvent(fleet,
              fleet.now + milliseconds(base::UniformBelow(fleet.rng, 100)),
              node, {});
}

inline SimulatedFleet StartFleet(std::uint64_t seed,
                                 std::size_t count,
                                 std::size_t data_centres) {
  SimulatedFleet fleet(seed);
  fleet.nodes.resize(count);
  std::vector<base::DaemonId> seeds;
  for (std::size_t node = 0; node < count; ++node)
    seeds.push_back(IdOf(node));
  for (std::size_t node = 0; node < count; ++node)
    StartNode(fleet, node, data_centres, 1, seeds);
  return fleet;
}

// Executes the actions of a node: records the changes and sends the messages
// with a random delay.
inline void PerformActions(SimulatedFleet& fleet,
                           std::size_t from,
                           Actions actions) {
  Node& node = fleet.nodes[from];
  for (Change& change : actions.changes)
    fleet.observations.push_back({fleet.now, from, std::move(change)});
  for (OutgoingMessage& message : actions.messages) {
    ++node.sent_messages;
    node.sent_bytes += message.payload.size() + kEnvelopeBytes;
    const auto to = fleet.index_by_id.find(message.recipient);
    if (to == fleet.index_by_id.end() ||
        fleet.is_message_lost(from, to->second))
      continue;
    const auto delay =
        base::Duration(500 + base::UniformBelow(fleet.rng, 7500)) +
        RandomLag(fleet, fleet.nodes[to->second]);
    PushEvent(fleet, fleet.now + delay, to->second,
              {node.membership.local_member.daemon,
               node.membership.local_member.incarnation,
               node.membership.local_member.data_centre, message.kind,
               std::move(message.payload)});
  }
}

inline void DeliverEvent(SimulatedFleet& fleet, Event event) {
  Node& node = fleet.nodes[event.node];
  const bool is_tick = event.message.kind == proto::MESSAGE_KIND_UNSPECIFIED;
  if (is_tick) {
    PushEvent(fleet, fleet.now + kTickInterval + RandomLag(fleet, node),
              event.node, {});
    if (node.mode == RunMode::kRunning)
      PerformActions(fleet, event.node,
                     Tick(node.membership, fleet.now, node.rng));
  } else if (node.mode == RunMode::kPaused) {
    node.held_messages.push_back(std::move(event.message));
  } else if (node.mode == RunMode::kRunning) {
    PerformActions(fleet, event.node,
                   HandleMessage(node.membership, event.message, fleet.now));
  }
}

inline void RunFor(SimulatedFleet& fleet, base::Duration duration) {
  const base::TimePoint end = fleet.now + duration;
  while (!fleet.events.empty() && fleet.events.top().due_at <= end) {
    Event event = fleet.events.top();
    fleet.events.pop();
    fleet.now = event.due_at;
    DeliverEvent(fleet, std::move(event));
  }
  fleet.now = end;
}

// Resumes a paused node and lets it handle the messages that arrived meanwhile.
inline void Resume(SimulatedFleet& fleet, std::size_t node) {
  Node& resumed = fleet.nodes[node];
  resumed.mode = RunMode::kRunning;
  for (const IncomingMessage& message : resumed.held_messages)
    PerformActions(fleet, node,
                   HandleMessage(resumed.membership, message, fleet.now));
  resumed.held_messages.clear();
}

// Returns the number of running nodes that list `node` and not as dead.
inline std::size_t CountNodesListing(const SimulatedFleet& fleet,
                                     std::size_t node) {
  std::size_t count = 0;
  for (const Node& observer : fleet.nodes) {
    const auto found = observer.membership.members.find(IdOf(node));
    if (observer.mode == RunMode::kRunning &&
        found != observer.membership.members.end() &&
        found->second.state != MemberState::kDead)
      ++count;
  }
  return count;
}

// Returns the number of observed changes of `kind` since `since` about the
// nodes in `about`, or about all nodes if `about` is empty.
inline std::size_t CountChanges(const SimulatedFleet& fleet,
                                ChangeKind kind,
                                base::TimePoint since,
                                const std::set<std::size_t>& about = {}) {
  std::size_t count = 0;
  for (const Observation& observation : fleet.observations) {
    const auto node = fleet.index_by_id.find(observation.change.daemon);
    if (observation.change.kind == kind && observation.observed_at >= since &&
        (about.empty() || about.contains(node->second)))
      ++count;
  }
  return count;
}

}  // namespace poplarfork::membership::test
