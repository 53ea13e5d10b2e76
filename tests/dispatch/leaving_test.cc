#include "tests/dispatch/dispatch_fixture.h"

#include "dispatch/handover_func.h"
#include "dispatch/leaving_func.h"

namespace poplarfork::dispatch {

namespace {

constexpr base::Incarnation kFirst{7};
constexpr base::Incarnation kSecond{8};

// Two upstreams of six slots, of which u0 has said that it is leaving.
struct LeavingFixture : DispatchFixture {
  LeavingFixture() : DispatchFixture(2, 6) {
    this->UpdateEntry(kFirst, false);
    const Grant* grant = nullptr;
    do {
      grant = this->RequestSlot("d", this->MakeSlotRequest(true));
      BOOST_REQUIRE(grant);
    } while (grant->upstream.value != "u0");
    AttemptReport report;
    report.attempt_id = grant->attempt_id;
    report.upstream = grant->upstream;
    report.outcome = Outcome::kServed;
    report.duration = milliseconds(200);
    report.notice.is_leaving = true;
    this->actions =
        OnAttemptReport(this->dispatcher, {"d"}, report, this->now, this->rng);
  }

  void UpdateEntry(base::Incarnation incarnation, bool removed) {
    fleet::UpstreamRecord record = MakeUpstreamRecord("u0", 6);
    record.entry.incarnation = incarnation;
    record.removed = removed;
    record.change_revision = {++this->revision};
    OnUpstreamRecord(this->dispatcher, record, this->now, this->rng);
  }

  // Returns how many of many requests are granted u0.
  int CountGrants() {
    int grants = 0;
    for (int i = 0; i < 12; ++i) {
      const Grant* grant =
          this->RequestSlot("e", this->MakeSlotRequest(i % 2 == 0));
      if (!grant)
        continue;
      const Grant copy = *grant;
      grants += copy.upstream.value == "u0" ? 1 : 0;
      this->now += milliseconds(300);
      this->EndAttempt("e", copy, Outcome::kServed);
    }
    return grants;
  }

  std::uint64_t revision = 10;
};

}  // namespace

// Guards against an upstream that has said that it is leaving and gets further
// requests, because its entry in the store stays ready, or expires and is
// written again.
BOOST_FIXTURE_TEST_CASE(LeavingUpstreamsGetNoNewRequests, LeavingFixture) {
  BOOST_TEST(IsLeaving(this->dispatcher, {"u0"}));
  BOOST_TEST(this->CountGrants() == 0);
  this->UpdateEntry(kFirst, false);
  BOOST_TEST(this->CountGrants() == 0);
  this->UpdateEntry(kFirst, true);
  this->Advance(seconds(30));
  this->UpdateEntry(kFirst, false);
  BOOST_TEST(this->CountGrants() == 0);
}

// Guards against an upstream that has started again under its id and gets no
// requests.
BOOST_FIXTURE_TEST_CASE(RestartedUpstreamsAreNotLeaving, LeavingFixture) {
  this->UpdateEntry(kSecond, false);
  BOOST_TEST(!IsLeaving(this->dispatcher, {"u0"}));
  BOOST_TEST(this->CountGrants() > 0);
}

// Guards against a late report about an earlier incarnation that takes the
// present one out of service.
BOOST_FIXTURE_TEST_CASE(ReportsOfEarlierIncarnationsMarkNobody,
                        LeavingFixture) {
  this->UpdateEntry(kSecond, false);
  BOOST_TEST(!MarkLeaving(this->dispatcher, {"u0"}, kFirst, this->now));
  BOOST_TEST(this->CountGrants() > 0);
}

// Guards against an upstream that is in use again after another daemon has
// become the dispatcher.
BOOST_FIXTURE_TEST_CASE(SuccessorsKnowLeavingUpstreams, LeavingFixture) {
  const auto digest = MakeDigest(this->dispatcher, {kService, 0, 1}, this->now);
  BOOST_REQUIRE(digest.has_value());
  DispatchFixture successor(2, 6);
  fleet::UpstreamRecord record = MakeUpstreamRecord("u0", 6);
  record.entry.incarnation = kFirst;
  record.change_revision = {11};
  OnUpstreamRecord(successor.dispatcher, record, successor.now, successor.rng);
  BOOST_TEST(OnDigest(successor.dispatcher, {"d"}, *digest, successor.now));
  BOOST_TEST(IsLeaving(successor.dispatcher, {"u0"}));
  const Grant* grant =
      successor.RequestSlot("e", successor.MakeSlotRequest(true));
  BOOST_REQUIRE(grant);
  BOOST_TEST(grant->upstream.value == "u1");
}

// Guards against a mark whose upstream was not known when it was made and that
// then applies to nobody, and against marks that are kept for ever.
BOOST_AUTO_TEST_CASE(MarksOfUnknownUpstreamsAreKeptForSomeTime) {
  DispatchFixture fixture(1, 6);
  BOOST_TEST(MarkLeaving(fixture.dispatcher, {"u0"}, {}, fixture.now));
  BOOST_TEST(MarkLeaving(fixture.dispatcher, {"new"}, {}, fixture.now));
  fleet::UpstreamRecord record = MakeUpstreamRecord("new", 6);
  record.entry.incarnation = kFirst;
  OnUpstreamRecord(fixture.dispatcher, record, fixture.now, fixture.rng);
  BOOST_TEST(!fixture.RequestSlot("d", fixture.MakeSlotRequest(true)));
  record.removed = true;
  OnUpstreamRecord(fixture.dispatcher, record, fixture.now, fixture.rng);
  BOOST_TEST(fixture.dispatcher.leaving.size() == 2U);
  fixture.now += std::chrono::minutes(11);
  OnTick(fixture.dispatcher, fixture.now, fixture.rng);
  BOOST_TEST(fixture.dispatcher.leaving.size() == 1U);
  BOOST_TEST(IsLeaving(fixture.dispatcher, {"u0"}));
}

}  // namespace poplarfork::dispatch
