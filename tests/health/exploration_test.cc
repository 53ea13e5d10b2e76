#include <array>
#include <functional>

#include <boost/test/unit_test.hpp>

#include "base/rng_func.h"
#include "health/ledger_func.h"
#include "health/recovery_func.h"
#include "health_helper.h"

namespace poplarfork::health {

namespace {

constexpr std::size_t kDaemonCount = 3;
constexpr std::uint32_t kUpstreamCount = 5;

// State of three daemons, two of which may act as the coordinator, and of the
// store.
struct FleetModel {
  base::TimePoint now{std::chrono::seconds(1000)};
  std::vector<ServiceHealth> daemons;
  base::Rng rng{5};
  Ledger stored;
  // Last ledger that each daemon read. It may be stale.
  std::array<Ledger, kDaemonCount> last_read;
  std::uint64_t violations = 0;
  std::uint64_t states = 0;
  std::uint64_t ejections = 0;
};

FleetModel MakeFleetModel() {
  FleetModel model;
  const note::Service service = MakeService(kUpstreamCount, 3, 0.6);
  for (std::uint32_t i = 0; i < kDaemonCount; ++i) {
    model.daemons.push_back(
        BuildServiceHealth(service, MakeMember(i, 3), model.now));
  }
  model.stored.service = service.id;
  model.last_read.fill(model.stored);
  return model;
}

void CountFloorViolations(FleetModel& model) {
  ++model.states;
  for (const ServiceHealth& daemon : model.daemons)
    model.violations += ViolatesFloor(daemon, model.now) ? 1 : 0;
}

void DeliverEvent(FleetModel& model, std::size_t daemon, const Event& event) {
  HandleEvent(model.daemons[daemon], event, model.now, model.rng);
}

void AvoidAtDaemon(FleetModel& model,
                   std::size_t daemon,
                   std::uint32_t upstream) {
  ServiceHealth& health = model.daemons[daemon];
  const auto found = health.index_by_id.find(MakeUpstreamId(upstream));
  if (found == health.index_by_id.end())
    return;
  Actions actions;
  AvoidUpstream(health, found->second, Reason::kFailures, 10 + upstream,
                model.now, model.rng, actions);
}

LedgerCapacity ComputeLedgerCapacity(const ServiceHealth& health) {
  LedgerCapacity capacity;
  capacity.floor = health.policy.floor;
  for (const UpstreamState& upstream : health.upstreams) {
    capacity.listed_slots += upstream.slots;
    capacity.draining_slots += upstream.draining ? upstream.slots : 0;
  }
  return capacity;
}

// Ejects `upstream` as a coordinator that decides on the ledger that it read
// last. The write is rejected if the stored ledger has changed since.
void EjectIfAllowed(FleetModel& model,
                    std::size_t daemon,
                    std::uint32_t upstream) {
  const Ledger& known = model.last_read[daemon];
  const LedgerCapacity capacity = ComputeLedgerCapacity(model.daemons[daemon]);
  if (CheckEjection(known, capacity, MakeUpstreamId(upstream), 1) !=
      EjectionCheck::kAllowed)
    return;
  const Ledger next =
      AddEjection(known, MakeUpstreamId(upstream), 1, std::chrono::seconds(10));
  if (known.version != model.stored.version)
    return;
  model.stored = next;
  ++model.stored.version;
  ++model.ejections;
  const auto counted = static_cast<double>(CountedSlots(model.stored));
  const auto listed = static_cast<double>(capacity.listed_slots);
  if (listed - static_cast<double>(capacity.draining_slots) - counted + 1e-9 <
      capacity.floor * listed)
    ++model.violations;
}

void ReadStoredLedger(FleetModel& model, std::size_t daemon) {
  model.last_read[daemon] = model.stored;
  DeliverEvent(model, daemon, LedgerReceived{model.stored, true});
}

// Delivers the ledger that the coordinator `from` read last, which may be
// stale, to the daemon `to`.
void DeliverLedger(FleetModel& model, std::size_t from, std::size_t to) {
  DeliverEvent(model, to, LedgerReceived{model.last_read[from], false});
}

void DrainAtAllDaemons(FleetModel& model, std::uint32_t upstream) {
  for (std::size_t i = 0; i < kDaemonCount; ++i)
    DeliverEvent(model, i, DrainChanged{MakeUpstreamId(upstream), true});
}

void WithdrawUpstream(FleetModel& model, std::uint32_t upstream) {
  note::Service service = MakeService(kUpstreamCount, 3, 0.6);
  service.upstreams.erase(MakeUpstreamId(upstream));
  for (std::size_t i = 0; i < kDaemonCount; ++i)
    DeliverEvent(model, i, ServiceChanged{service});
}

// Advances the time until the ledger is unconfirmed, without messages from the
// coordinator or the store.
void LoseCoordinator(FleetModel& model) {
  model.now += kLedgerConfirmationTimeout;
  for (std::size_t i = 0; i < kDaemonCount; ++i)
    DeliverEvent(model, i, Tick{});
}

// Expires the entries that a coordinator read last, unless the stored ledger
// has changed since.
void ExpireEntries(FleetModel& model, std::size_t daemon) {
  std::vector<std::uint64_t> sequences;
  for (const LedgerEntry& entry : model.last_read[daemon].ejected)
    sequences.push_back(entry.sequence);
  if (sequences.empty() ||
      model.last_read[daemon].version != model.stored.version)
    return;
  model.stored = ExpireEjections(model.stored, sequences);
  ++model.stored.version;
}

using ModelStep = std::function<void(FleetModel&)>;

void AvoidTwo(FleetModel& model) {
  AvoidAtDaemon(model, 1, 0);
  AvoidAtDaemon(model, 1, 2);
}

// Ejects an upstream, reads the ledger back and sends it to daemon 1.
void EjectAndSend(FleetModel& model,
                  std::size_t daemon,
                  std::uint32_t upstream) {
  EjectIfAllowed(model, daemon, upstream);
  ReadStoredLedger(model, daemon);
  DeliverLedger(model, daemon, 1);
}

// Returns the steps for which all complete orders are visited.
std::vector<ModelStep> MakeCoarseSteps() {
  return {
      AvoidTwo,
      [](FleetModel& model) { EjectAndSend(model, 0, 1); },
      [](FleetModel& model) { EjectAndSend(model, 2, 3); },
      [](FleetModel& model) { DeliverLedger(model, 0, 1); },
      [](FleetModel& model) { DrainAtAllDaemons(model, 4); },
      [](FleetModel& model) { WithdrawUpstream(model, 0); },
      [](FleetModel& model) { ExpireEntries(model, 0); },
      LoseCoordinator,
  };
}

// Returns more fine-grained steps, for which all orders of five are visited.
std::vector<ModelStep> MakeFineSteps() {
  return {
      [](FleetModel& model) { AvoidAtDaemon(model, 1, 0); },
      [](FleetModel& model) { AvoidAtDaemon(model, 1, 2); },
      [](FleetModel& model) { EjectAndSend(model, 0, 1); },
      [](FleetModel& model) { EjectIfAllowed(model, 2, 3); },
      [](FleetModel& model) {
        ReadStoredLedger(model, 2);
        DeliverLedger(model, 2, 1);
      },
      [](FleetModel& model) { DeliverLedger(model, 0, 1); },
      [](FleetModel& model) { DrainAtAllDaemons(model, 4); },
      [](FleetModel& model) { WithdrawUpstream(model, 0); },
      [](FleetModel& model) { ExpireEntries(model, 0); },
      LoseCoordinator,
  };
}

// Visits every order of the steps whose bit is not set in `done`, down to
// `depth` further steps, and adds up the counts in `totals`.
void ExploreOrders(const std::vector<ModelStep>& steps,
                   const FleetModel& model,
                   std::uint32_t done,
                   int depth,
                   FleetModel& totals) {
  if (depth == 0)
    return;
  for (std::size_t i = 0; i < steps.size(); ++i) {
    if ((done >> i & 1U) != 0)
      continue;
    FleetModel next = model;
    next.violations = 0;
    next.states = 0;
    next.ejections = 0;
    steps[i](next);
    CountFloorViolations(next);
    totals.violations += next.violations;
    totals.states += next.states;
    totals.ejections += next.ejections;
    ExploreOrders(steps, next, done | 1U << i, depth - 1, totals);
  }
}

void TakeRandomStep(FleetModel& model, base::Rng& rng) {
  const std::size_t daemon = base::UniformBelow(rng, kDaemonCount);
  const std::size_t other = base::UniformBelow(rng, kDaemonCount);
  const auto upstream =
      static_cast<std::uint32_t>(base::UniformBelow(rng, kUpstreamCount));
  switch (base::UniformBelow(rng, 8)) {
    case 0:
      AvoidAtDaemon(model, daemon, upstream);
      break;
    case 1:
      EjectIfAllowed(model, daemon, upstream);
      break;
    case 2:
      ReadStoredLedger(model, daemon);
      break;
    case 3:
      DeliverLedger(model, daemon, other);
      break;
    case 4:
      DeliverEvent(model, daemon,
                   DrainChanged{MakeUpstreamId(upstream),
                                base::UniformBelow(rng, 2) == 0});
      break;
    case 5:
      ExpireEntries(model, daemon);
      break;
    case 6:
      WithdrawUpstream(model, upstream);
      break;
    default:
      model.now +=
          base::Duration(std::chrono::seconds(base::UniformBelow(rng, 12)));
      for (std::size_t i = 0; i < kDaemonCount; ++i)
        DeliverEvent(model, i, Tick{});
      break;
  }
}

}  // namespace

// Guards against an order of avoidance, ejection by two coordinators, drain,
// withdrawal, expiry, loss of the coordinator and a stale ledger that brings a
// service below its floor, either in the view of a daemon or in the ledger.
BOOST_AUTO_TEST_CASE(AllStepOrdersKeepTheFloor) {
  FleetModel totals = MakeFleetModel();
  ExploreOrders(MakeCoarseSteps(), MakeFleetModel(), 0, 8, totals);
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
  FleetModel totals = MakeFleetModel();
  ExploreOrders(MakeFineSteps(), MakeFleetModel(), 0, 5, totals);
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
    FleetModel model = MakeFleetModel();
    for (int step = 0; step < 60; ++step) {
      TakeRandomStep(model, rng);
      CountFloorViolations(model);
      BOOST_REQUIRE_MESSAGE(model.violations == 0, "seed " << kSeed << " run "
                                                           << run << " step "
                                                           << step);
    }
  }
}

// Guards against a check that detects nothing: it must detect routing that
// ignores the floor and routing to a draining upstream.
BOOST_AUTO_TEST_CASE(ViolationsAreDetected) {
  FleetModel model = MakeFleetModel();
  const ServiceHealth& health = model.daemons[0];
  BOOST_TEST(!ViolatesFloor(health, model.now));
  BOOST_TEST(
      ViolatesFloor(health, {{0, 1, false, false}, {1, 1, false, false}}));
  BOOST_TEST(ViolatesFloor(
      health,
      {{0, 1, true, false}, {1, 1, false, false}, {2, 1, false, false}}));
  const std::vector<RoutableUpstream> all =
      RoutableUpstreams(BuildRoutingView(health, model.now));
  DrainAtAllDaemons(model, 4);
  BOOST_TEST(ViolatesFloor(health, all));
}

}  // namespace poplarfork::health
