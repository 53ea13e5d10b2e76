#include <array>
#include <functional>

#include <boost/test/unit_test.hpp>

#include "base/rng_func.h"
#include "health/ledger_func.h"
#include "health/return_func.h"
#include "health_helper.h"

namespace poplarfork::health {

namespace {

constexpr std::size_t kDaemons = 3;
constexpr std::uint32_t kUpstreams = 5;

// State of three daemons, two of which may act as the coordinator, and of the
// store.
struct World {
  base::TimePoint now{std::chrono::seconds(1000)};
  std::vector<ServiceHealth> daemons;
  base::Rng rng{5};
  Ledger stored;
  // Last ledger that each daemon read. It may be stale.
  std::array<Ledger, kDaemons> read;
  std::uint64_t violations = 0;
  std::uint64_t states = 0;
  std::uint64_t ejections = 0;
};

World MakeWorld() {
  World world;
  const note::Service service = MakeService(kUpstreams, 3, 0.6);
  for (std::uint32_t i = 0; i < kDaemons; ++i) {
    world.daemons.push_back(
        BuildServiceHealth(service, Member(i, 3), world.now));
  }
  world.stored.service = service.id;
  world.read.fill(world.stored);
  return world;
}

void Check(World& world) {
  ++world.states;
  for (const ServiceHealth& daemon : world.daemons)
    world.violations += ViolatesFloor(daemon, world.now) ? 1 : 0;
}

void Feed(World& world, std::size_t daemon, const Event& event) {
  Handle(world.daemons[daemon], event, world.now, world.rng);
}

void AvoidAt(World& world, std::size_t daemon, std::uint32_t upstream) {
  ServiceHealth& health = world.daemons[daemon];
  const auto found = health.index.find(UpstreamName(upstream));
  if (found == health.index.end())
    return;
  Actions actions;
  Avoid(health, found->second, Reason::kFailures, 10 + upstream, world.now,
        world.rng, actions);
}

LedgerCapacity CapacitySeenBy(const ServiceHealth& health) {
  LedgerCapacity capacity;
  capacity.floor = health.policy.floor;
  for (const UpstreamState& upstream : health.upstreams) {
    capacity.listed += upstream.slots;
    capacity.draining += upstream.draining ? upstream.slots : 0;
  }
  return capacity;
}

// Ejects `upstream` as a coordinator that decides on the ledger that it read
// last. The write is rejected if the stored ledger has changed since.
void Eject(World& world, std::size_t daemon, std::uint32_t upstream) {
  const Ledger& known = world.read[daemon];
  const LedgerCapacity capacity = CapacitySeenBy(world.daemons[daemon]);
  if (TestEjection(known, capacity, UpstreamName(upstream), 1) !=
      EjectionVerdict::kAllowed)
    return;
  const Ledger next =
      ApplyEjection(known, UpstreamName(upstream), 1, std::chrono::seconds(10));
  if (known.version != world.stored.version)
    return;
  world.stored = next;
  ++world.stored.version;
  ++world.ejections;
  const auto counted = static_cast<double>(CountedSlots(world.stored));
  const auto listed = static_cast<double>(capacity.listed);
  if (listed - static_cast<double>(capacity.draining) - counted + 1e-9 <
      capacity.floor * listed)
    ++world.violations;
}

void Read(World& world, std::size_t daemon) {
  world.read[daemon] = world.stored;
  Feed(world, daemon, LedgerReceived{world.stored, true});
}

// Delivers the ledger that the coordinator `from` read last, which may be
// stale, to the daemon `to`.
void Deliver(World& world, std::size_t from, std::size_t to) {
  Feed(world, to, LedgerReceived{world.read[from], false});
}

void Drain(World& world, std::uint32_t upstream) {
  for (std::size_t i = 0; i < kDaemons; ++i)
    Feed(world, i, DrainChanged{UpstreamName(upstream), true});
}

void Withdraw(World& world, std::uint32_t upstream) {
  note::Service service = MakeService(kUpstreams, 3, 0.6);
  service.upstreams.erase(UpstreamName(upstream));
  for (std::size_t i = 0; i < kDaemons; ++i)
    Feed(world, i, ServiceChanged{service});
}

// Advances the time until the ledger is unconfirmed, without messages from the
// coordinator or the store.
void LoseCoordinator(World& world) {
  world.now += kLedgerConfirmTime;
  for (std::size_t i = 0; i < kDaemons; ++i)
    Feed(world, i, Tick{});
}

// Expires the entries that a coordinator read last, unless the stored ledger
// has changed since.
void Expire(World& world, std::size_t daemon) {
  std::vector<std::uint64_t> sequences;
  for (const LedgerEntry& entry : world.read[daemon].ejected)
    sequences.push_back(entry.sequence);
  if (sequences.empty() || world.read[daemon].version != world.stored.version)
    return;
  world.stored = ExpireEjections(world.stored, sequences);
  ++world.stored.version;
}

using Step = std::function<void(World&)>;

void AvoidTwo(World& world) {
  AvoidAt(world, 1, 0);
  AvoidAt(world, 1, 2);
}

// Ejects an upstream, reads the ledger back and sends it to daemon 1.
void EjectAndSend(World& world, std::size_t daemon, std::uint32_t upstream) {
  Eject(world, daemon, upstream);
  Read(world, daemon);
  Deliver(world, daemon, 1);
}

// Returns the steps for which all complete orders are visited.
std::vector<Step> EightSteps() {
  return {
      AvoidTwo,
      [](World& world) { EjectAndSend(world, 0, 1); },
      [](World& world) { EjectAndSend(world, 2, 3); },
      [](World& world) { Deliver(world, 0, 1); },
      [](World& world) { Drain(world, 4); },
      [](World& world) { Withdraw(world, 0); },
      [](World& world) { Expire(world, 0); },
      LoseCoordinator,
  };
}

// Returns more fine-grained steps, for which all orders of five are visited.
std::vector<Step> TenSteps() {
  return {
      [](World& world) { AvoidAt(world, 1, 0); },
      [](World& world) { AvoidAt(world, 1, 2); },
      [](World& world) { EjectAndSend(world, 0, 1); },
      [](World& world) { Eject(world, 2, 3); },
      [](World& world) {
        Read(world, 2);
        Deliver(world, 2, 1);
      },
      [](World& world) { Deliver(world, 0, 1); },
      [](World& world) { Drain(world, 4); },
      [](World& world) { Withdraw(world, 0); },
      [](World& world) { Expire(world, 0); },
      LoseCoordinator,
  };
}

// Visits every order of the steps whose bit is not set in `done`, down to
// `depth` further steps, and adds up the counts in `totals`.
void Explore(const std::vector<Step>& steps,
             const World& world,
             std::uint32_t done,
             int depth,
             World& totals) {
  if (depth == 0)
    return;
  for (std::size_t i = 0; i < steps.size(); ++i) {
    if ((done >> i & 1U) != 0)
      continue;
    World next = world;
    next.violations = 0;
    next.states = 0;
    next.ejections = 0;
    steps[i](next);
    Check(next);
    totals.violations += next.violations;
    totals.states += next.states;
    totals.ejections += next.ejections;
    Explore(steps, next, done | 1U << i, depth - 1, totals);
  }
}

void RandomStep(World& world, base::Rng& rng) {
  const std::size_t daemon = base::UniformBelow(rng, kDaemons);
  const std::size_t other = base::UniformBelow(rng, kDaemons);
  const auto upstream =
      static_cast<std::uint32_t>(base::UniformBelow(rng, kUpstreams));
  switch (base::UniformBelow(rng, 8)) {
    case 0:
      AvoidAt(world, daemon, upstream);
      break;
    case 1:
      Eject(world, daemon, upstream);
      break;
    case 2:
      Read(world, daemon);
      break;
    case 3:
      Deliver(world, daemon, other);
      break;
    case 4:
      Feed(world, daemon,
           DrainChanged{UpstreamName(upstream),
                        base::UniformBelow(rng, 2) == 0});
      break;
    case 5:
      Expire(world, daemon);
      break;
    case 6:
      Withdraw(world, upstream);
      break;
    default:
      world.now +=
          base::Duration(std::chrono::seconds(base::UniformBelow(rng, 12)));
      for (std::size_t i = 0; i < kDaemons; ++i)
        Feed(world, i, Tick{});
      break;
  }
}

}  // namespace

// Guards against an order of avoidance, ejection by two coordinators, drain,
// withdrawal, expiry, loss of the coordinator and a stale ledger that brings a
// service below its floor, either in the view of a daemon or in the ledger.
BOOST_AUTO_TEST_CASE(AllStepOrdersKeepTheFloor) {
  World totals = MakeWorld();
  Explore(EightSteps(), MakeWorld(), 0, 8, totals);
  BOOST_TEST_MESSAGE(totals.states << " states, " << totals.ejections
                                   << " ejections");
  // This is the sum of 8! / k! for k from 0 to 7.
  BOOST_TEST(totals.states == 109600U);
  BOOST_TEST(totals.ejections > 1000U);
  BOOST_TEST(totals.violations == 0U);
}

// Guards against an order of more fine-grained steps, in which a coordinator
// can write the ledger without sending it to any daemon.
BOOST_AUTO_TEST_CASE(OrdersOfFiveFineStepsKeepTheFloor) {
  World totals = MakeWorld();
  Explore(TenSteps(), MakeWorld(), 0, 5, totals);
  // This is 10 + 10*9 + 10*9*8 + 10*9*8*7 + 10*9*8*7*6.
  BOOST_TEST(totals.states == 36100U);
  BOOST_TEST(totals.ejections > 1000U);
  BOOST_TEST(totals.violations == 0U);
}

// Guards against violations in longer sequences of the same events, which the
// exhaustive tests do not reach.
BOOST_AUTO_TEST_CASE(RandomSequencesKeepTheFloor) {
  constexpr std::uint64_t kSeed = 31;
  BOOST_TEST_MESSAGE("seed " << kSeed);
  base::Rng rng(kSeed);
  for (int run = 0; run < 300; ++run) {
    World world = MakeWorld();
    for (int step = 0; step < 60; ++step) {
      RandomStep(world, rng);
      Check(world);
      BOOST_REQUIRE_MESSAGE(world.violations == 0, "seed " << kSeed << " run "
                                                           << run << " step "
                                                           << step);
    }
  }
}

// Guards against a check that detects nothing: it must detect routing that
// ignores the floor and routing to a draining upstream.
BOOST_AUTO_TEST_CASE(ViolationsAreDetected) {
  World world = MakeWorld();
  const ServiceHealth& health = world.daemons[0];
  BOOST_TEST(!ViolatesFloor(health, world.now));
  BOOST_TEST(
      ViolatesFloor(health, {{0, 1, false, false}, {1, 1, false, false}}));
  BOOST_TEST(ViolatesFloor(
      health,
      {{0, 1, true, false}, {1, 1, false, false}, {2, 1, false, false}}));
  const std::vector<RoutableUpstream> all =
      RoutableUpstreams(ViewOf(health, world.now));
  Drain(world, 4);
  BOOST_TEST(ViolatesFloor(health, all));
}

}  // namespace poplarfork::health
