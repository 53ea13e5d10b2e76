#include <boost/test/unit_test.hpp>

#include <malloc.h>

#include <cmath>
#include <iostream>
#include <string>

#include "load/account_limits_func.h"
#include "load/admission_func.h"
#include "load/concurrency_limit_func.h"
#include "load/deadline_func.h"
#include "load/retry_budget_func.h"

namespace poplarfork::load {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20260731;
constexpr base::TimePoint kNow{seconds(100)};

AdmissionRequest MakeRequest(note::Urgency urgency) {
  return {.service = {"orders"},
          .urgency = urgency,
          .max_in_flight = 1000,
          .deadline = kNow + seconds(30)};
}

bool IsAdmitted(LoadState& state, note::Urgency urgency) {
  base::Rng rng(kSeed);
  return !Admit(state, MakeRequest(urgency), kNow, rng).refusal;
}

}  // namespace

// Guards against daemons that together admit more than an account's limit, and
// against a refusal whose retry time is too short.
BOOST_AUTO_TEST_CASE(AccountsGetTheirShare) {
  AccountLimits limits;
  const AccountShare share = DivideAccountLimit(100, 200, 40);
  int admitted = 0;
  for (int step = 0; step < 10000; ++step) {
    const base::TimePoint now = kNow + step * milliseconds(1);
    admitted += TakeToken(limits, {"a"}, share, now) ? 0 : 1;
  }
  BOOST_TEST(admitted >= 29);
  BOOST_TEST(admitted <= 30);
  const base::TimePoint end = kNow + seconds(10);
  TakeToken(limits, {"a"}, share, end);
  const auto wait = TakeToken(limits, {"a"}, share, end);
  BOOST_REQUIRE(wait);
  BOOST_TEST(!TakeToken(limits, {"a"}, share, end + *wait));
  BOOST_TEST(!TakeToken(limits, {"b"}, share, end));
  BOOST_TEST(
      TakeToken(limits, {"c"}, DivideAccountLimit(0, 0, 40), end).has_value());
}

// Guards against buckets of idle accounts that are never removed. Prints the
// memory of a bucket at the number of accounts that is expected in two years.
BOOST_AUTO_TEST_CASE(IdleAccountsAreRemoved) {
  constexpr int kAccounts = 510000;
  const std::size_t before = mallinfo2().uordblks;
  const std::size_t mapped = mallinfo2().hblkhd;
  AccountLimits limits;
  const AccountShare share = DivideAccountLimit(100, 200, 40);
  for (int number = 0; number < kAccounts; ++number)
    TakeToken(limits, {"account-" + std::to_string(number)}, share, kNow);
  const auto used = static_cast<double>(mallinfo2().uordblks - before) +
                    static_cast<double>(mallinfo2().hblkhd - mapped);
  std::cout << "bytes per account at 510000 accounts: " << used / kAccounts
            << "\n";
  BOOST_TEST(limits.buckets.size() == static_cast<std::size_t>(kAccounts));
  SweepFullBuckets(limits, kNow + seconds(60));
  BOOST_TEST(limits.buckets.empty());
}

// Guards against urgent work that is shed before bulk work.
BOOST_AUTO_TEST_CASE(BulkIsShedFirstAndUrgentLast) {
  LoadState state;
  state.max_in_flight = 100;
  state.in_flight = 75;
  BOOST_TEST(!IsAdmitted(state, note::Urgency::kBulk));
  BOOST_TEST(IsAdmitted(state, note::Urgency::kNormal));
  state.in_flight = 90;
  BOOST_TEST(!IsAdmitted(state, note::Urgency::kNormal));
  BOOST_TEST(IsAdmitted(state, note::Urgency::kUrgent));
  state.in_flight = 100;
  BOOST_TEST(!IsAdmitted(state, note::Urgency::kUrgent));
  state.in_flight = 0;
  state.loop_delay = milliseconds(75);
  BOOST_TEST(!IsAdmitted(state, note::Urgency::kBulk));
  BOOST_TEST(IsAdmitted(state, note::Urgency::kNormal));
}

// Guards against a service that uses the capacity of the whole daemon, against
// refused requests that take tokens, and against counts of requests in flight
// that do not return to 0.
BOOST_AUTO_TEST_CASE(RefusalsGiveTheirReasonAndTakeNoToken) {
  LoadState state;
  base::Rng rng(kSeed);
  AdmissionRequest request = MakeRequest(note::Urgency::kNormal);
  request.max_in_flight = 2;
  request.share = AccountShare{.rate = 1, .burst = 3};
  BOOST_TEST(!Admit(state, request, kNow, rng).refusal);
  BOOST_TEST(!Admit(state, request, kNow, rng).refusal);
  const AdmissionDecision full = Admit(state, request, kNow, rng);
  BOOST_TEST((full.refusal == RefusalReason::kServiceFull));
  BOOST_TEST((full.retry_after >= milliseconds(500)));
  OnRequestDone(state, request.service);
  BOOST_TEST(!Admit(state, request, kNow, rng).refusal);
  OnRequestDone(state, request.service);
  const AdmissionDecision limited = Admit(state, request, kNow, rng);
  BOOST_TEST((limited.refusal == RefusalReason::kAccountLimit));
  BOOST_TEST((limited.retry_after == seconds(1)));
  request.deadline = kNow;
  BOOST_TEST((Admit(state, request, kNow, rng).refusal ==
              RefusalReason::kDeadlinePassed));
  OnRequestDone(state, request.service);
  OnRequestDone(state, request.service);
  BOOST_TEST(state.in_flight == 0U);
}

// Guards against retries that multiply the load of a service whose upstreams
// all fail. The number of sends is at most 1.1 times the number of requests at
// every point, at high and at low rates.
BOOST_AUTO_TEST_CASE(RetriesStayWithinTheBudget) {
  for (const int per_second : {1, 7, 1000}) {
    RetryBudget budget;
    int requests = 0;
    int retries = 0;
    for (int step = 0; step < 60 * per_second; ++step) {
      const base::TimePoint now =
          kNow + base::Duration(seconds(1)) * step / per_second;
      OnFirstAttempt(budget, 0.1, now);
      ++requests;
      while (TryTakeRetryToken(budget, 0.1, now))
        ++retries;
      BOOST_REQUIRE(retries <= requests / 10);
    }
    BOOST_TEST(retries >= requests / 10 - 1);
  }
}

// Guards against a burst of retries after an hour in which the budget was not
// used.
BOOST_AUTO_TEST_CASE(UnusedRetriesExpire) {
  RetryBudget budget;
  for (int step = 0; step < 3600; ++step)
    OnFirstAttempt(budget, 0.1, kNow + step * seconds(1));
  int retries = 0;
  while (TryTakeRetryToken(budget, 0.1, kNow + seconds(3700)))
    ++retries;
  BOOST_TEST(retries == 1);
}

// Guards against an upstream that gets more work while it slows down, and
// against a limit that does not recover afterwards.
BOOST_AUTO_TEST_CASE(LimitFollowsLatency) {
  ConcurrencyLimit limit = NewConcurrencyLimit(20, kNow);
  OnLatency(limit, milliseconds(10), 20, false, kNow);
  BOOST_TEST(CurrentLimit(limit) == 20U);
  base::TimePoint now = kNow;
  for (int step = 0; step < 100; ++step) {
    now += milliseconds(100);
    OnLatency(limit, milliseconds(40), 20, false, now);
  }
  BOOST_TEST(CurrentLimit(limit) == 1U);
  for (int step = 0; step < 1000; ++step) {
    now += milliseconds(10);
    OnLatency(limit, milliseconds(10), CurrentLimit(limit), false, now);
  }
  BOOST_TEST(CurrentLimit(limit) == 20U);
  OnLatency(limit, milliseconds(1), 20, true, now);
  BOOST_TEST(CurrentLimit(limit) == 16U);
}

// Guards against a relayed request that gets more time than its caller allowed.
BOOST_AUTO_TEST_CASE(DeadlinesOnlyShrink) {
  const base::TimePoint stated_deadline =
      RequestDeadline(kNow, seconds(30), milliseconds(1500));
  BOOST_TEST((RemainingTime(stated_deadline, kNow) == milliseconds(1500)));
  const base::TimePoint capped_deadline =
      RequestDeadline(kNow, seconds(30), seconds(90));
  BOOST_TEST((RemainingTime(capped_deadline, kNow) == seconds(30)));
  BOOST_TEST((RemainingTime(kNow, kNow + seconds(1)) == milliseconds(0)));
}

}  // namespace poplarfork::load
