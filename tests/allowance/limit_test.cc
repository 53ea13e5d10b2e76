#include <boost/test/unit_test.hpp>

#include "tests/allowance/allowance_fixture.h"

namespace poplarfork::allowance {

namespace {

// Limits of the account, and number of seeds that are run with each.
struct RateCase {
  double rate;
  std::uint64_t seeds;
};

constexpr RateCase kRateCases[] = {{2, 600},
                                   {5, 600},
                                   {60, 300},
                                   {274, 60},
                                   {2000, 6}};

// Draws conditions from the seed: 1 to 12 dispatchers, up to 5 % of the
// messages lost and as many duplicated, and delays of up to 30 ms.
SimulationOptions DrawOptions(std::uint64_t seed, double rate) {
  base::Rng rng(seed * 7919);
  SimulationOptions options;
  options.seed = seed;
  options.rate = rate;
  options.burst = rate;
  options.dispatchers = 1 + base::UniformBelow(rng, 12);
  options.loss = 0.05 * base::Uniform01(rng);
  options.duplication = 0.05 * base::Uniform01(rng);
  options.max_delay =
      milliseconds(1 + static_cast<std::int64_t>(base::UniformBelow(rng, 30)));
  return options;
}

// Runs `check` for each rate and seed.
template <class Check>
void ForEachSeed(std::uint64_t divisor, const Check& check) {
  for (const RateCase& rate_case : kRateCases) {
    const std::uint64_t seeds =
        std::max<std::uint64_t>(rate_case.seeds / divisor, 2);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      BOOST_TEST_CONTEXT("seed " << seed << ", rate " << rate_case.rate)
      check(DrawOptions(seed, rate_case.rate));
    }
  }
}

void CheckLimit(const Simulation& simulation,
                const SimulationOptions& options,
                base::TimePoint since = kStart) {
  const double allowed = Simulation::Allowed(options.rate, options.burst);
  BOOST_TEST(static_cast<double>(simulation.MostAdmitted(since)) <= allowed);
}

// Checks that nearly all requests are admitted that the limit permits in the
// whole run, except for a time for which no owner refills.
void CheckUse(const Simulation& simulation,
              const SimulationOptions& options,
              base::Duration without_refill = base::Duration(0)) {
  const double seconds =
      std::chrono::duration<double>(simulation.now - kStart - without_refill)
          .count();
  // Less than one token is left over.
  BOOST_TEST(static_cast<double>(simulation.admitted_at.size() + 1) >=
             0.95 * options.rate * seconds);
}

}  // namespace

// Guards against dispatchers that together admit more than the limit, and
// against tokens that get lost or stay unused between them, while an account
// sends 4.7 times its limit.
BOOST_AUTO_TEST_CASE(ExcessLoadGetsTheLimitAndNoMore) {
  ForEachSeed(1, [](const SimulationOptions& options) {
    Simulation simulation(options);
    simulation.Run(seconds(14));
    CheckLimit(simulation, options);
    CheckUse(simulation, options);
  });
}

// Guards against refusals of an account that stays within its limit.
BOOST_AUTO_TEST_CASE(UsualLoadIsNotRefused) {
  ForEachSeed(2, [](SimulationOptions options) {
    options.demand_factor = 0.64;
    Simulation simulation(options);
    simulation.Run(seconds(10));
    CheckLimit(simulation, options);
    const std::size_t sent =
        simulation.refusals.size() + simulation.admitted_at.size();
    // An account that the owner sees for the first time lacks three quarters of
    // its burst, and the dispatchers hold fractions of tokens.
    BOOST_TEST(static_cast<double>(simulation.refusals.size()) <=
               0.02 * static_cast<double>(sent) + 0.75 * options.burst + 2);
  });
}

// Guards against a surge after usual load that gets the tokens which the
// dispatchers hold on top of a full bucket.
BOOST_AUTO_TEST_CASE(SurgeAfterUsualLoadStaysWithinTheLimit) {
  ForEachSeed(2, [](SimulationOptions options) {
    options.demand_factor = 0.64;
    Simulation simulation(options);
    simulation.Run(seconds(4));
    simulation.options.demand_factor = 7.5 * 0.64;
    simulation.Run(seconds(7));
    CheckLimit(simulation, options);
  });
}

// Guards against a successor that grants again what its predecessor has
// granted, and against accounts that get nothing after their owner was killed.
BOOST_AUTO_TEST_CASE(KilledOwnerIsReplaced) {
  ForEachSeed(2, [](const SimulationOptions& options) {
    Simulation simulation(options);
    simulation.AddOwner(false);
    simulation.Run(seconds(6));
    simulation.owners[0].is_alive = false;
    simulation.Run(milliseconds(2000));
    simulation.owners[1].is_first = true;
    for (auto& dispatcher : simulation.dispatchers)
      dispatcher.owner = 1;
    simulation.Run(seconds(6));
    CheckLimit(simulation, options);
    // Three asks of 50 ms and a delay pass until the successor is asked, which
    // then refills at a quarter until 2 s have passed.
    CheckUse(simulation, options, milliseconds(1700));
  });
}

// Guards against two owners that grant the limit twice while the fleet is split
// between them. For the first 2.5 s neither knows of the split; the second one
// then still sees the first as the owner, so that it refills at a quarter.
BOOST_AUTO_TEST_CASE(SplitFleetSharesTheLimit) {
  ForEachSeed(2, [](const SimulationOptions& options) {
    Simulation simulation(options);
    simulation.AddOwner(false);
    simulation.Run(seconds(6));
    for (std::size_t i = 0; i < simulation.dispatchers.size(); i += 2)
      simulation.dispatchers[i].unreachable.insert(0);
    simulation.Run(milliseconds(2500));
    simulation.owners[0].contact_share = 0.6;
    simulation.owners[1].contact_share = 0.4;
    simulation.owners[1].is_first = true;
    for (std::size_t i = 0; i < simulation.dispatchers.size(); i += 2)
      simulation.dispatchers[i].owner = 1;
    simulation.Run(seconds(8));
    for (std::size_t i = 0; i < simulation.dispatchers.size(); i += 2) {
      simulation.dispatchers[i].owner = 0;
      simulation.dispatchers[i].unreachable.clear();
    }
    simulation.owners[0].contact_share = 1;
    simulation.owners[1].contact_share = 1;
    simulation.owners[1].is_first = false;
    simulation.Run(seconds(6));
    CheckLimit(simulation, options);
  });
}

// Guards against a gateway that is cut off from all others and grants itself
// the whole limit.
BOOST_AUTO_TEST_CASE(CutOffDispatcherGrantsItsShare) {
  ForEachSeed(2, [](const SimulationOptions& options) {
    Simulation simulation(options);
    simulation.Run(seconds(6));
    simulation.dispatchers[0].unreachable.insert(0);
    const base::TimePoint cut_off_at = simulation.now;
    simulation.Run(seconds(8));
    CheckLimit(simulation, options);
    if (options.dispatchers > 1)
      return;
    // The only dispatcher still grants something to a large account.
    const double share = options.rate * 8 / 100;
    BOOST_TEST(static_cast<double>(simulation.AdmittedSince(cut_off_at)) >=
               0.6 * share - 1);
  });
}

// Guards against a dispatcher whose successor gets more than the limit with the
// overdraft of a new process.
BOOST_AUTO_TEST_CASE(KilledDispatcherIsReplaced) {
  ForEachSeed(2, [](const SimulationOptions& options) {
    Simulation simulation(options);
    simulation.Run(seconds(6));
    auto& dispatcher = simulation.dispatchers[0];
    const AccountTable accounts = dispatcher.balances.accounts;
    dispatcher.balances = {};
    dispatcher.balances.accounts = accounts;
    dispatcher.balances.known_members = options.known_members;
    dispatcher.balances.next_sequence = (1ULL << 62) + 1;
    simulation.Run(seconds(6));
    CheckLimit(simulation, options);
    CheckUse(simulation, options);
  });
}

// Guards against tokens of an earlier limit that are still granted after the
// limit was lowered.
BOOST_AUTO_TEST_CASE(LoweredLimitIsBinding) {
  ForEachSeed(2, [](const SimulationOptions& options) {
    Simulation simulation(options);
    simulation.Run(seconds(6));
    simulation.SetLimit(options.rate / 4, options.burst / 4);
    const base::TimePoint lowered_at = simulation.now;
    simulation.Run(seconds(8));
    BOOST_TEST(static_cast<double>(simulation.MostAdmitted(lowered_at)) <=
               Simulation::Allowed(options.rate / 4, options.burst / 4));
  });
}

// Guards against a process that grants the tokens of the time in which it was
// paused when it resumes.
BOOST_AUTO_TEST_CASE(PausedProcessesRefillForOneSecond) {
  ForEachSeed(2, [](const SimulationOptions& options) {
    Simulation simulation(options);
    simulation.AddOwner(false);
    simulation.Run(seconds(6));
    simulation.owners[0].paused_until = simulation.now + seconds(4);
    simulation.dispatchers[0].paused_until = simulation.now + seconds(3);
    simulation.Run(seconds(12));
    CheckLimit(simulation, options);
  });
}

// Guards against a message per request, and against times to try again that do
// not fit the limit.
BOOST_AUTO_TEST_CASE(MessagesAreFewAndRetryAfterFitsTheLimit) {
  SimulationOptions options = DrawOptions(3, 2000);
  options.dispatchers = 4;
  Simulation simulation(options);
  simulation.Run(seconds(5));
  BOOST_TEST(simulation.messages <
             (simulation.admitted_at.size() + simulation.refusals.size()) / 20);
  // 3.7 times the limit is refused, so the callers are spread over 3.7 s.
  base::Duration sum{};
  for (const base::Duration retry_after : simulation.refusals)
    sum += retry_after;
  const double mean_seconds = std::chrono::duration<double>(sum).count() /
                              static_cast<double>(simulation.refusals.size());
  BOOST_TEST(mean_seconds > 0.4);
  BOOST_TEST(mean_seconds < 3.7);
}

}  // namespace poplarfork::allowance
