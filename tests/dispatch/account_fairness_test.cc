#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "base/rng_func.h"
#include "tests/dispatch/dispatch_fixture.h"

namespace poplarfork::dispatch {

namespace {

constexpr int kAccounts = 8;
constexpr base::Duration kDuration = milliseconds(200);
constexpr base::Duration kStep = milliseconds(5);

// What became of the requests of one account.
struct AccountResult {
  int sent = 0;
  int served = 0;
  base::Duration waited{};

  double ServedShare() const {
    return static_cast<double>(this->served) / std::max(this->sent, 1);
  }
  double MeanWaitSeconds() const {
    return std::chrono::duration<double>(this->waited).count() /
           std::max(this->served, 1);
  }
};

// Callers of eight accounts, each of which usually sends 8 requests a second,
// and upstreams with four slots whose requests all take 200 ms. The requests of
// accounts may be sent without their names.
struct FairnessModel : DispatchFixture {
  FairnessModel(int upstreams, bool with_accounts, std::uint64_t seed)
      : DispatchFixture(upstreams, 4), with_accounts(with_accounts) {
    this->arrival_rng.seed(seed);
    this->rates.assign(kAccounts, 8);
    this->next_at.assign(kAccounts, this->now);
  }

  void SendRequest(int account) {
    SlotRequest slot_request = this->MakeSlotRequest(true);
    slot_request.until_late = milliseconds(1500);
    slot_request.until_deadline = milliseconds(4000);
    if (this->with_accounts)
      slot_request.account = {"account-" + std::to_string(account)};
    this->sent_by[slot_request.attempt_id.value] = account;
    this->sent_at[slot_request.attempt_id.value] = this->now;
    ++this->results[account].sent;
    this->Handle(OnSlotRequest(this->dispatcher, {"d"}, slot_request, this->now,
                               this->rng));
  }

  void Handle(const Actions& new_actions) {
    for (const Action& action : new_actions) {
      const auto* send = std::get_if<SendGrant>(&action);
      if (!send)
        continue;
      AccountResult& result =
          this->results[this->sent_by.at(send->grant.attempt_id.value)];
      ++result.served;
      result.waited +=
          this->now - this->sent_at.at(send->grant.attempt_id.value);
      this->running.emplace(this->now + kDuration, send->grant);
    }
  }

  void EndAttempts() {
    while (!this->running.empty() &&
           this->running.begin()->first <= this->now) {
      const Grant grant = this->running.begin()->second;
      this->running.erase(this->running.begin());
      AttemptReport report;
      report.attempt_id = grant.attempt_id;
      report.upstream = grant.upstream;
      report.outcome = Outcome::kServed;
      report.duration = kDuration;
      this->Handle(OnAttemptReport(this->dispatcher, {"d"}, report, this->now,
                                   this->rng));
    }
  }

  void Run(base::Duration duration) {
    const base::TimePoint end = this->now + duration;
    base::TimePoint next_tick = this->now;
    for (; this->now < end; this->now += kStep) {
      this->EndAttempts();
      for (int account = 0; account < kAccounts; ++account) {
        while (this->next_at[account] <= this->now) {
          const double gap =
              2 * base::Uniform01(this->arrival_rng) / this->rates[account];
          this->next_at[account] +=
              base::Duration(static_cast<std::int64_t>(gap * 1e6) + 1);
          this->SendRequest(account);
        }
      }
      if (this->now >= next_tick) {
        next_tick = this->now + kTickInterval;
        this->Handle(OnTick(this->dispatcher, this->now, this->rng));
      }
    }
  }

  // Returns the sum of the results of all accounts from `first` on.
  AccountResult Sum(int first) const {
    AccountResult sum;
    for (const auto& [account, result] : this->results) {
      if (account < first)
        continue;
      sum.sent += result.sent;
      sum.served += result.served;
      sum.waited += result.waited;
    }
    return sum;
  }

  bool with_accounts;
  // Draws the times of the requests, so that they do not depend on the
  // dispatcher.
  base::Rng arrival_rng;
  std::vector<double> rates;
  std::vector<base::TimePoint> next_at;
  std::map<std::uint64_t, int> sent_by;
  std::map<std::uint64_t, base::TimePoint> sent_at;
  std::multimap<base::TimePoint, Grant> running;
  std::map<int, AccountResult> results;
};

// Runs 30 s of usual load and then 10 s in which account 0 sends 7.5 times its
// usual load. The results are those of the surge.
FairnessModel RunSurge(int upstreams, bool with_accounts, std::uint64_t seed) {
  FairnessModel model(upstreams, with_accounts, seed);
  model.Run(seconds(30));
  model.results.clear();
  model.rates[0] = 7.5 * 8;
  model.Run(seconds(10));
  return model;
}

}  // namespace

// Guards against an account that sends 7.5 times its usual load and keeps the
// others of its priority waiting, or has them refused. The upstreams run 80
// requests a second and get 116. In the order of the queue alone, all accounts
// would be served alike.
BOOST_AUTO_TEST_CASE(SurgeOfOneAccountDoesNotHoldUpTheOthers) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      const FairnessModel model = RunSurge(4, true, seed);
      const FairnessModel in_order = RunSurge(4, false, seed);
      BOOST_TEST(model.Sum(1).ServedShare() >= 0.87);
      BOOST_TEST(model.Sum(1).ServedShare() >=
                 in_order.Sum(1).ServedShare() + 0.15);
      BOOST_TEST(model.Sum(1).MeanWaitSeconds() <=
                 0.8 * in_order.Sum(1).MeanWaitSeconds());
      BOOST_TEST(model.results.at(0).ServedShare() >=
                 model.Sum(0).ServedShare() / 4);
    }
  }
}

// Guards against an account that is served less than a quarter as often as all
// while the capacity falls to half, whether or not it surges.
BOOST_AUTO_TEST_CASE(NoAccountIsStarvedWhileCapacityIsShort) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      const FairnessModel model = RunSurge(2, true, seed);
      const double all = model.Sum(0).ServedShare();
      for (const auto& [account, result] : model.results)
        BOOST_TEST(result.ServedShare() >= all / 4);
    }
  }
}

// Guards against an account with few requests that is refused because the queue
// is full of a surging account's requests, which would give way to it.
BOOST_AUTO_TEST_CASE(SurgeDoesNotShutOutAccountsWithFewRequests) {
  for (int upstreams = 4; upstreams >= 2; --upstreams) {
    AccountResult rare;
    AccountResult others;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      FairnessModel model(upstreams, true, seed);
      model.rates[kAccounts - 1] = 0.5;
      model.Run(seconds(30));
      model.results.clear();
      model.rates[0] = 7.5 * 8;
      model.Run(seconds(10));
      rare.sent += model.results[kAccounts - 1].sent;
      rare.served += model.results[kAccounts - 1].served;
      for (int account = 1; account < kAccounts - 1; ++account) {
        others.sent += model.results[account].sent;
        others.served += model.results[account].served;
      }
    }
    BOOST_TEST_MESSAGE(upstreams << " upstreams, seeds 1 to 20: served "
                                 << rare.ServedShare() << " of " << rare.sent
                                 << " requests of the account with few, "
                                 << others.ServedShare() << " of the others");
    BOOST_TEST(rare.ServedShare() >= 0.9 * others.ServedShare());
  }
}

// Guards against a usual load that is served worse with accounts than without
// them.
BOOST_AUTO_TEST_CASE(UsualLoadIsServedAsWithoutAccounts) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      FairnessModel with(4, true, seed);
      FairnessModel without(4, false, seed);
      with.Run(seconds(30));
      without.Run(seconds(30));
      BOOST_TEST(with.Sum(0).served >= without.Sum(0).served);
      BOOST_TEST(with.Sum(0).MeanWaitSeconds() <=
                 without.Sum(0).MeanWaitSeconds() + 0.001);
    }
  }
}

}  // namespace poplarfork::dispatch
