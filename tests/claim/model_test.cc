#include <boost/test/unit_test.hpp>

#include <iostream>
#include <string>
#include <unordered_set>
#include <vector>

#include "claim/supplied_key_func.h"
#include "tests/claim/successor_func.h"

namespace poplarfork::claim {

namespace {

constexpr base::TimePoint kNow{std::chrono::seconds(1000)};

struct WorldHashHasher {
  std::size_t operator()(const WorldHash& hash) const { return hash.first; }
};

struct Exploration {
  std::size_t states = 0;
  int depth = 0;
  bool complete = false;
  std::size_t runs = 0;
  std::size_t not_run = 0;
  std::size_t replaced = 0;
};

// Marks the empty claim log of `key` as read by a daemon.
void MarkLogLoaded(World& world, int daemon, const std::string& key) {
  HandleEvent(world, daemon, [&](ClaimState& state) {
    state.shards[ShardOf({"acme"}, key)].loaded = true;
    return Actions();
  });
}

// Returns the first state. All daemons have read the empty claim logs, so that
// their views are outdated once one of them has appended; daemons that restart
// read the logs again.
World InitialWorld(int faults, int time_steps) {
  World world;
  world.now = kNow;
  world.faults_left = faults;
  world.time_steps_left = time_steps;
  for (int daemon = 0; daemon < kDaemonCount; ++daemon) {
    Node& node = world.nodes[daemon];
    node.state = NewDaemonState(world, daemon, 1);
    MarkLogLoaded(world, daemon, "order-1");
  }
  return world;
}

std::string MintKeyAt(World& world, int daemon) {
  std::string key;
  HandleEvent(world, daemon, [&](ClaimState& state) {
    key = MintKeyFor(state, {"acme"}, world.now);
    return Actions();
  });
  return key;
}

// Returns another key whose claims are in the same claim log as those of `key`.
std::string KeyInSameShard(const std::string& key) {
  for (int number = 0;; ++number) {
    std::string other = "order-" + std::to_string(number);
    if (other != key && ShardOf({"acme"}, other) == ShardOf({"acme"}, key))
      return other;
  }
}

void ReportViolation(const World& world) {
  std::string text = world.violation;
  std::vector<std::string> events;
  for (const Trace* at = world.trace.get(); at != nullptr;
       at = at->previous.get()) {
    events.push_back(at->event);
  }
  for (auto event = events.rbegin(); event != events.rend(); ++event)
    text += "\n  " + *event;
  BOOST_ERROR(text);
}

void CountWorld(const World& world, Exploration& result) {
  ++result.states;
  for (const Order& order : world.orders) {
    result.runs += order.runs > 0 ? 1 : 0;
    result.replaced += order.replacement_sent ? 1 : 0;
  }
  for (const Send& send : world.sends)
    result.not_run += send.state == SendState::kNotRun ? 1 : 0;
}

// Visits every state within `depth` events of `first` in breadth-first order,
// and stops at the first violation.
Exploration Explore(const World& first, int depth) {
  Exploration result;
  std::unordered_set<WorldHash, WorldHashHasher> seen = {
      ComputeWorldHash(first)};
  std::vector<World> level = {first};
  CountWorld(first, result);
  while (result.depth < depth && !level.empty()) {
    std::vector<World> next_level;
    for (World& world : level) {
      for (World& next : FindSuccessors(world)) {
        if (!next.violation.empty()) {
          ReportViolation(next);
          return result;
        }
        if (!seen.insert(ComputeWorldHash(next)).second)
          continue;
        CountWorld(next, result);
        next_level.push_back(std::move(next));
      }
      world = World();
    }
    level = std::move(next_level);
    ++result.depth;
  }
  result.complete = level.empty();
  return result;
}

void PrintExploration(const std::string& name, const Exploration& result) {
  std::cout << name << ": " << result.states << " states, depth "
            << result.depth << (result.complete ? " (complete)" : "") << ", "
            << result.runs << " with a run, " << result.not_run
            << " not-run answers, " << result.replaced
            << " with a replaced key\n";
}

// Fails if the exploration reached no run or no "not run" answer, because the
// invariants are about these.
void CheckCoverage(const Exploration& result) {
  BOOST_TEST(result.runs > 0U);
  BOOST_TEST(result.not_run > 0U);
}

}  // namespace

// Guards against a second run of a caller-supplied key, and against the answer
// "not run" for a key that ran or runs later. The model contains duplicate
// sends, crashes, pauses, lost replies, store outages and messages lost in each
// direction. All sequences with at most two faults are explored to depth 7, and
// all with at most one to depth 8. Duplicate sends, pauses and the loss of
// claims and claim results are not counted as faults.
BOOST_AUTO_TEST_CASE(OneSuppliedKeyRunsAtMostOnce) {
  for (const bool serial : {true, false}) {
    const std::string name =
        serial ? "one key sent serially" : "one key sent concurrently";
    for (const int faults : {2, 1}) {
      World first = InitialWorld(faults, 3);
      first.orders = {{.key = "order-1", .serial = serial}};
      const Exploration result = Explore(first, faults == 2 ? 7 : 8);
      PrintExploration(name + ", " + std::to_string(faults) + " faults",
                       result);
      CheckCoverage(result);
    }
  }
}

// Guards against the same violations for two keys in one claim log, whose
// claims share batches.
BOOST_AUTO_TEST_CASE(TwoSuppliedKeysRunAtMostOnce) {
  World first = InitialWorld(1, 3);
  first.orders = {{.key = "order-1", .serial = true},
                  {.key = KeyInSameShard("order-1")}};
  const Exploration result = Explore(first, 6);
  PrintExploration("two caller-supplied keys", result);
  CheckCoverage(result);
}

// Guards against the same violations for a minted key together with a
// caller-supplied one.
BOOST_AUTO_TEST_CASE(MintedAndSuppliedKeyRunAtMostOnce) {
  World first = InitialWorld(1, 3);
  const std::string minted = MintKeyAt(first, 0);
  first.orders = {{.key = minted}, {.key = "order-1", .serial = true}};
  const Exploration result = Explore(first, 6);
  PrintExploration("a minted and a caller-supplied key", result);
  CheckCoverage(result);
}

}  // namespace poplarfork::claim
