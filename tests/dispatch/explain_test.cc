#include "dispatch/explain_func.h"

#include <algorithm>
#include <functional>
#include <limits>

#include "dispatch/handover_func.h"
#include "dispatch/rate_limit_func.h"
#include "tests/dispatch/dispatch_fixture.h"

namespace poplarfork::dispatch {

namespace {

const base::DaemonId kDaemon{"d"};

// A state and the reply that is expected from it.
struct ExplainCase {
  const char* name;
  ExpectedResult result;
  // Prepares three upstreams with two slots each.
  std::function<void(DispatchFixture&, SlotRequest&)> prepare;
  RefusalReason reason = RefusalReason::kOverload;
  std::vector<Exclusion> exclusions = {};
};

void ForEachUpstream(DispatchFixture& fixture,
                     const std::function<void(UpstreamState&)>& change) {
  for (auto& [id, upstream] :
       fixture.dispatcher.shards.at({kService}).upstreams)
    change(upstream);
}

void FillSlots(DispatchFixture& fixture) {
  for (int i = 0; i < 6; ++i)
    BOOST_REQUIRE(
        fixture.RequestSlot("other", fixture.MakeSlotRequest(i % 2 == 0)));
}

const std::vector<ExplainCase> kCases = {
    {"idle", ExpectedResult::kGranted, [](auto&, auto&) {}},
    {"covered",
     ExpectedResult::kGranted,
     [](auto& fixture, auto&) {
       ForEachUpstream(fixture, [&](UpstreamState& upstream) {
         upstream.covered_at = fixture.now;
       });
       fixture.FindUpstream("u1").entry.data_centre = {"b"};
       fixture.FindUpstream("u2").entry.phase = fleet::UpstreamPhase::kDraining;
     },
     RefusalReason::kOverload,
     {Exclusion::kDraining}},
    // The upstream due for coverage is not the cheapest one.
    {"due for coverage", ExpectedResult::kGranted,
     [](auto& fixture, auto&) {
       ForEachUpstream(fixture, [&](UpstreamState& upstream) {
         upstream.covered_at = fixture.now;
       });
       UpstreamState& due = fixture.FindUpstream("u0");
       due.covered_at = fixture.now - seconds(3);
       due.entry.data_centre = {"b"};
       fixture.FindUpstream("u1").covered_at = fixture.now - seconds(3);
       fixture.FindUpstream("u1").cover_not_before = fixture.now + seconds(1);
     }},
    {"suspended",
     ExpectedResult::kGranted,
     [](auto& fixture, auto&) {
       fixture.dispatcher.shards.at({kService}).last_slot_request_at =
           fixture.now;
       ForEachUpstream(fixture, [&](UpstreamState& upstream) {
         upstream.covered_at = fixture.now;
       });
       fixture.FindUpstream("u0").health_status = HealthStatus::kSuspended;
       fixture.FindUpstream("u1").path_failures[kDaemon].avoid_until =
           fixture.now + seconds(1);
     },
     RefusalReason::kOverload,
     {Exclusion::kSuspended, Exclusion::kPathFailed}},
    {"trial",
     ExpectedResult::kGranted,
     [](auto& fixture, auto&) {
       UpstreamState& trial = fixture.FindUpstream("u0");
       trial.health_status = HealthStatus::kTrial;
       trial.running_count = 1;
       ApplyStatedLimit(fixture.FindUpstream("u1"), 1, fixture.now,
                        fixture.now);
       ForEachUpstream(fixture, [&](UpstreamState& upstream) {
         upstream.covered_at = fixture.now;
       });
     },
     RefusalReason::kOverload,
     {Exclusion::kTrialFull, Exclusion::kStatedLimit}},
    {"queued", ExpectedResult::kQueued,
     [](auto& fixture, auto&) {
       fixture.ServeRequests(10);
       FillSlots(fixture);
     },
     RefusalReason::kOverload,
     std::vector<Exclusion>(3, Exclusion::kNoFreeSlot)},
    {"overload", ExpectedResult::kRefused,
     [](auto& fixture, SlotRequest& request) {
       FillSlots(fixture);
       request.until_late = milliseconds(1);
     },
     RefusalReason::kOverload,
     std::vector<Exclusion>(3, Exclusion::kNoFreeSlot)},
    {"paused", ExpectedResult::kRefused,
     [](auto& fixture, auto&) {
       ForEachUpstream(fixture, [&](UpstreamState& upstream) {
         upstream.paused_daemons[kDaemon] = fixture.now + seconds(2);
       });
     },
     RefusalReason::kUpstreamsPaused,
     std::vector<Exclusion>(3, Exclusion::kDaemonPaused)},
    {"not ready", ExpectedResult::kRefused,
     [](auto& fixture, auto&) { fixture.dispatcher.ready = false; },
     RefusalReason::kNotReady},
    {"no upstream", ExpectedResult::kRefused,
     [](auto&, SlotRequest& request) { request.work_class.service = {"x"}; },
     RefusalReason::kNoUpstream},
    {"account limit", ExpectedResult::kRefused,
     [](auto& fixture, SlotRequest& request) {
       request.account = {"anna"};
       fixture.dispatcher.balances.accounts =
           std::make_shared<allowance::AccountMap>(allowance::AccountMap{
               {{"anna"}, {.id = {"anna"}, .limit = {1, 1}}}});
       SlotRequest earlier = fixture.MakeSlotRequest(true);
       earlier.account = request.account;
       BOOST_REQUIRE(fixture.RequestSlot("other", earlier));
     },
     RefusalReason::kOverAllowance},
    {"queue first", ExpectedResult::kQueued,
     [](auto& fixture, auto&) {
       fixture.ServeRequests(10);
       FillSlots(fixture);
       BOOST_REQUIRE(
           !fixture.RequestSlot("other", fixture.MakeSlotRequest(true)));
       fixture.FindUpstream("u0").running_count = 1;
     },
     RefusalReason::kOverload,
     std::vector<Exclusion>(3, Exclusion::kNoFreeSlot)},
    {"digest", ExpectedResult::kGranted,
     [](auto& fixture, auto&) {
       fixture.ServeRequests(10);
       const auto digest =
           MakeDigest(fixture.dispatcher, {kService}, fixture.now);
       BOOST_REQUIRE(digest);
       fixture.now += seconds(4);
       BOOST_REQUIRE(
           OnDigest(fixture.dispatcher, {"other"}, *digest, fixture.now));
     }},
};

ExpectedResult ResultOf(const Grant* grant, const Refusal* refusal) {
  if (grant)
    return ExpectedResult::kGranted;
  return refusal ? ExpectedResult::kRefused : ExpectedResult::kQueued;
}

// Returns the state that a request could change, as text.
std::string Describe(const Dispatcher& dispatcher) {
  std::ostringstream text;
  text.precision(std::numeric_limits<double>::max_digits10);
  text << dispatcher.shards.size() << dispatcher.digests.size()
       << dispatcher.running_attempts.size();
  for (const auto& [account, balance] : dispatcher.balances.by_account)
    text << account.value << balance.tokens << balance.request_rate;
  for (const auto& [shard, state] : dispatcher.shards) {
    text << state.queue.size() << " " << state.retry_budget.tokens << " "
         << state.retry_budget.request_rate << " " << state.hedge_budget.tokens
         << " " << state.loss_stats.placed << " " << state.loss_stats.unserved
         << " " << state.loss_stats.coverage_credit << " "
         << state.last_slot_request_at.time_since_epoch().count();
    for (const auto& [id, upstream] : state.upstreams)
      text << id.value << upstream.running_count << " "
           << upstream.covered_at.time_since_epoch().count() << " "
           << static_cast<int>(upstream.health_status) << " "
           << upstream.fault_estimate.probability << " "
           << (upstream.rate_limit ? upstream.rate_limit->tokens : 0);
  }
  return text.str();
}

}  // namespace

// Guards against an explanation that differs from what the dispatcher does next
// from the same state, and against one that changes the state.
BOOST_AUTO_TEST_CASE(ExplanationMatchesTheReply) {
  for (const ExplainCase& item : kCases) {
    BOOST_TEST_CONTEXT(item.name << ", seed " << kSeed) {
      DispatchFixture fixture(3, 2);
      SlotRequest request = fixture.MakeSlotRequest(true);
      item.prepare(fixture, request);
      const std::string before = Describe(fixture.dispatcher);
      const Explanation explanation =
          ExplainSlotRequest(fixture.dispatcher, kDaemon, request, fixture.now);
      BOOST_TEST(before == Describe(fixture.dispatcher));
      std::vector<Exclusion> exclusions;
      for (const ExcludedUpstream& excluded : explanation.excluded)
        exclusions.push_back(excluded.reason);
      BOOST_TEST((exclusions == item.exclusions));
      const Grant* grant = fixture.RequestSlot(kDaemon.value, request);
      const Refusal* refusal = fixture.FindRefusal();
      const ExpectedReply& reply = explanation.reply;
      BOOST_TEST((ResultOf(grant, refusal) == item.result));
      BOOST_REQUIRE((reply.result == item.result));
      if (grant && !reply.is_near_tie)
        BOOST_TEST(reply.upstream.value == grant->upstream.value);
      if (grant)
        BOOST_TEST(reply.for_coverage == fixture.dispatcher.running_attempts
                                             .at({kDaemon, request.attempt_id})
                                             .for_coverage);
      if (refusal)
        BOOST_TEST(
            (reply.reason == item.reason && refusal->reason == item.reason));
    }
  }
}

// Guards against a near tie whose random choice is told as certain, and against
// a clear choice that is told as random.
BOOST_AUTO_TEST_CASE(NearTiesAreNamed) {
  DispatchFixture fixture(2, 2);
  fixture.ServeRequests(20);
  ForEachUpstream(fixture, [&](UpstreamState& upstream) {
    upstream.covered_at = fixture.now;
  });
  UpstreamState& other = fixture.FindUpstream("u1");
  other = fixture.FindUpstream("u0");
  other.entry.id = {"u1"};
  const SlotRequest request = fixture.MakeSlotRequest(true);
  const auto explain = [&] {
    return ExplainSlotRequest(fixture.dispatcher, kDaemon, request,
                              fixture.now);
  };
  BOOST_TEST(explain().reply.is_near_tie);
  other.entry.data_centre = {"b"};
  BOOST_TEST(!explain().reply.is_near_tie);
  BOOST_TEST(explain().reply.upstream.value == "u0");
}

}  // namespace poplarfork::dispatch
