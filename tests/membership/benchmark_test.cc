#include <boost/test/unit_test.hpp>

#include <malloc.h>

#include <membership.pb.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <set>
#include <string>
#include <vector>

#include "simulated_fleet.h"

// All fleets use the random seed 20. The printed times are simulated, except
// for the CPU time.

namespace poplarfork::membership::test {

namespace {

constexpr std::uint64_t kSeed = 20;

// With AddressSanitizer, the largest fleet is too slow for every run of CI.
#ifdef __SANITIZE_ADDRESS__
constexpr bool kIsSanitized = true;
#else
constexpr bool kIsSanitized = false;
#endif

// Prints how long after `since` each node observed the first change of one of
// `kinds` about `node`. Returns the number of nodes that observed one.
std::size_t PrintDetectionTimes(const SimulatedFleet& fleet,
                                const char* label,
                                std::size_t node,
                                const std::set<ChangeKind>& kinds,
                                base::TimePoint since) {
  std::set<std::size_t> observers;
  std::vector<double> times;
  for (const Observation& observation : fleet.observations) {
    if (observation.observed_at < since ||
        observation.change.daemon != IdOf(node) ||
        !kinds.contains(observation.change.kind) ||
        !observers.insert(observation.observer).second)
      continue;
    times.push_back(
        std::chrono::duration<double>(observation.observed_at - since).count());
  }
  std::sort(times.begin(), times.end());
  if (!times.empty())
    std::printf(
        "    %s known to %zu: first %.2f s, median %.2f s, max %.2f s\n", label,
        times.size(), times.front(), times[times.size() / 2], times.back());
  return times.size();
}

// Runs the fleet for `duration` and prints the messages and bytes that each
// member sent per second.
void PrintSendRates(SimulatedFleet& fleet,
                    const char* label,
                    base::Duration duration) {
  for (Node& node : fleet.nodes) {
    node.sent_messages = 0;
    node.sent_bytes = 0;
  }
  RunFor(fleet, duration);
  double messages = 0;
  double bytes = 0;
  double max_member_bytes = 0;
  for (const Node& node : fleet.nodes) {
    messages += static_cast<double>(node.sent_messages);
    bytes += static_cast<double>(node.sent_bytes);
    max_member_bytes =
        std::max(max_member_bytes, static_cast<double>(node.sent_bytes));
  }
  const double member_seconds = static_cast<double>(fleet.nodes.size()) *
                                std::chrono::duration<double>(duration).count();
  std::printf(
      "    sent per member and second %s: %.2f messages, %.0f bytes (most by "
      "one member: %.0f)\n",
      label, messages / member_seconds, bytes / member_seconds,
      max_member_bytes / std::chrono::duration<double>(duration).count());
}

void MeasureFleet(std::size_t count, std::size_t data_centres) {
  std::printf("  %zu members in %zu data centres\n", count, data_centres);
  SimulatedFleet fleet = StartFleet(kSeed, count, data_centres);
  RunFor(fleet, seconds(60));
  PrintSendRates(fleet, "after a start of all at once", seconds(10));
  // In a fleet that has run for a long time, no updates from its start are
  // queued.
  for (Node& node : fleet.nodes)
    node.membership.updates = {};
  PrintSendRates(fleet, "without changes", seconds(20));
  fleet.observations.clear();

  const base::TimePoint killed_at = fleet.now;
  fleet.nodes[1].mode = RunMode::kStopped;
  RunFor(fleet, seconds(15));
  BOOST_TEST(PrintDetectionTimes(fleet, "killed ", 1, {ChangeKind::kDied},
                                 killed_at) == count - 1);
  const base::TimePoint paused_at = fleet.now;
  fleet.nodes[2].mode = RunMode::kPaused;
  RunFor(fleet, seconds(15));
  BOOST_TEST(PrintDetectionTimes(fleet, "paused ", 2, {ChangeKind::kDied},
                                 paused_at) == count - 2);
  const base::TimePoint leaving_at = fleet.now;
  PerformActions(fleet, 3, StartLeaving(fleet.nodes[3].membership));
  RunFor(fleet, seconds(15));
  BOOST_TEST(PrintDetectionTimes(fleet, "leaving", 3, {ChangeKind::kLeaving},
                                 leaving_at) == count - 3);
  std::size_t false_deaths = 0;
  for (const Observation& observation : fleet.observations) {
    if (observation.change.kind == ChangeKind::kDied &&
        observation.change.daemon != IdOf(1) &&
        observation.change.daemon != IdOf(2))
      ++false_deaths;
  }
  std::printf("    false deaths: %zu\n", false_deaths);
  BOOST_TEST(false_deaths == 0U);
}

proto::MemberUpdate MakeUpdate(std::size_t node, std::uint64_t incarnation) {
  LocalMember self;
  self.daemon = IdOf(node);
  self.edge_address = IdOf(node).value;
  self.data_centre = DataCentreOf(node, 14);
  self.incarnation.value = incarnation;
  proto::MemberUpdate update;
  update.set_daemon(self.daemon.value);
  update.set_incarnation(incarnation);
  update.set_version(1);
  update.set_edge_address(self.edge_address);
  update.set_data_centre(self.data_centre.value);
  return update;
}

IncomingMessage MakeMessage(std::size_t node,
                            proto::MessageKind kind,
                            const std::string& payload) {
  return {IdOf(node), base::Incarnation{1}, DataCentreOf(node, 14), kind,
          payload};
}

}  // namespace

// Guards against traffic and detection times that grow with the size of the
// fleet, and against declaring live members dead.
BOOST_AUTO_TEST_CASE(CostAndDetectionTimeByFleetSize) {
  std::printf("seed %llu\n", static_cast<unsigned long long>(kSeed));
  MeasureFleet(40, 3);
  MeasureFleet(200, 3);
  if (!kIsSanitized)
    MeasureFleet(1000, 5);
}

// Guards against a member list that does not fit into the memory of a daemon,
// and against traffic above the budget, in a fleet of 6,900 daemons. The other
// daemons are stubs that acknowledge every probe, send two probes a second, and
// gossip 0.41 changes (two updates each) a second.
BOOST_AUTO_TEST_CASE(OneDaemonAmong6900) {
  constexpr std::size_t kMembers = 6900;
  base::Rng rng(kSeed);
  base::TimePoint now;
  LocalMember self;
  self.daemon = IdOf(0);
  self.edge_address = "10.0.0.0:8080";
  self.data_centre = DataCentreOf(0, 14);
  self.incarnation.value = 1;
  const std::size_t before = mallinfo2().uordblks;
  Membership membership = MakeMembership(self, {IdOf(1)}, now, rng);
  for (std::size_t start = 1; start < kMembers; start += kMembersPerListPart) {
    proto::MemberList list;
    *list.mutable_self() = MakeUpdate(1, 1);
    const std::size_t end = std::min(kMembers, start + kMembersPerListPart);
    for (std::size_t node = start; node < end; ++node)
      *list.add_members() = MakeUpdate(node, 1);
    HandleMessage(membership,
                  MakeMessage(1, proto::MEMBER_LIST, list.SerializeAsString()),
                  now);
  }
  membership.updates = {};
  BOOST_TEST(membership.members.size() == kMembers - 1);
  const std::size_t after = mallinfo2().uordblks;
  const double per_member =
      static_cast<double>(after - before) / static_cast<double>(kMembers);
  // AddressSanitizer's allocator does not maintain the statistics of mallinfo2.
  if (!kIsSanitized)
    std::printf("6,900 members: %.0f bytes per member, %.2f MB\n", per_member,
                static_cast<double>(after - before) / 1e6);
  BOOST_TEST(per_member < 512.0);

  constexpr int kSeconds = 120;
  double sent = 0;
  double received = 0;
  std::uint64_t restarts = 0;
  std::uint64_t messages = 0;
  const auto cpu_start = std::clock();
  for (int tick = 0; tick < kSeconds * 10; ++tick) {
    now += kTickInterval;
    std::vector<IncomingMessage> incoming;
    Actions actions = Tick(membership, now, rng);
    for (const OutgoingMessage& message : actions.messages) {
      const auto node = std::stoul(message.recipient.value.substr(5)) * 250 +
                        std::stoul(message.recipient.value.substr(
                            message.recipient.value.rfind('.') + 1));
      if (message.kind == proto::PROBE) {
        proto::Probe ack;
        ack.ParseFromString(message.payload);
        ack.clear_updates();
        incoming.push_back(
            MakeMessage(node, proto::ACK, ack.SerializeAsString()));
      }
    }
    if (tick % 5 == 0) {
      const std::size_t node = 1 + base::UniformBelow(rng, kMembers - 1);
      proto::Probe probe;
      probe.set_sequence(static_cast<std::uint64_t>(tick) + 1);
      probe.set_version(1);
      // The fleet gossips 0.82 updates a second, of which half would be
      // repeats.
      if (base::Uniform01(rng) < 0.41) {
        const std::size_t changed = 1 + base::UniformBelow(rng, kMembers - 1);
        *probe.add_updates() = MakeUpdate(changed, 2 + restarts++);
      }
      incoming.push_back(
          MakeMessage(node, proto::PROBE, probe.SerializeAsString()));
    }
    if (tick % 100 == 0) {
      proto::Join join;
      *join.mutable_self() = MakeUpdate(1, 1);
      join.set_after(IdOf(base::UniformBelow(rng, kMembers)).value);
      join.set_limit(kMembersPerListPart);
      incoming.push_back(MakeMessage(1, proto::JOIN, join.SerializeAsString()));
    }
    for (const IncomingMessage& message : incoming) {
      received += static_cast<double>(message.payload.size() + kEnvelopeBytes);
      Actions reply_actions = HandleMessage(membership, message, now);
      for (OutgoingMessage& reply : reply_actions.messages)
        actions.messages.push_back(std::move(reply));
    }
    for (const OutgoingMessage& message : actions.messages) {
      ++messages;
      sent += static_cast<double>(message.payload.size() + kEnvelopeBytes);
    }
  }
  const double cpu =
      static_cast<double>(std::clock() - cpu_start) / CLOCKS_PER_SEC;
  std::printf(
      "    sent per second: %.2f messages, %.0f bytes; received %.0f bytes; "
      "CPU time %.3f %% of a core\n",
      static_cast<double>(messages) / kSeconds, sent / kSeconds,
      received / kSeconds, 100 * cpu / kSeconds);
  BOOST_TEST(sent / kSeconds < 12000.0);
}

}  // namespace poplarfork::membership::test
