#include <boost/test/unit_test.hpp>

#include "fleet/freshness_func.h"

namespace poplarfork::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::TimePoint kNow{seconds(100)};

}  // namespace

// Guards against direct reads by all daemons while the store readers work:
// replies to Hellos then confirm the view about once a second.
BOOST_AUTO_TEST_CASE(ConfirmedViewsNeedNoDirectRead) {
  Freshness freshness;
  ConfirmView(freshness, kNow);
  BOOST_TEST(!IsDirectReadDue(freshness, kNow + milliseconds(1000)));
  // A reply that was delayed must not make the view older.
  ConfirmView(freshness, kNow - seconds(1));
  BOOST_TEST(!IsDirectReadDue(freshness, kNow + milliseconds(1000)));
}

// Guards against a configuration that is not in force within 2 s because the
// store readers have failed. A read takes up to half a second.
BOOST_AUTO_TEST_CASE(UnconfirmedViewsAreReadBeforeTheBoundEnds) {
  Freshness freshness;
  ConfirmView(freshness, kNow);
  BOOST_TEST(IsDirectReadDue(freshness, kNow + milliseconds(1500)));
}

// Guards against removals that are taken for expired entries after an outage
// that was too short, and against the reverse.
BOOST_AUTO_TEST_CASE(EntriesExpireInLongOutagesOnly) {
  // The entry of an upstream that missed its write because the outage began
  // expires two heartbeats later at the earliest.
  BOOST_TEST(!MayExpireEntries(milliseconds(2500), milliseconds(1500)));
  BOOST_TEST(MayExpireEntries(milliseconds(3000), milliseconds(1500)));
  BOOST_TEST(MayExpireEntries(milliseconds(2500), milliseconds(500)));
}

// Guards against calls of all daemons that load a store which is down.
BOOST_AUTO_TEST_CASE(FailedDirectReadsBecomeRare) {
  Freshness freshness;
  ConfirmView(freshness, kNow);
  base::TimePoint now = kNow;
  int reads = 0;
  for (; now < kNow + seconds(12); now += milliseconds(50)) {
    if (!IsDirectReadDue(freshness, now))
      continue;
    ++reads;
    DelayDirectReads(freshness, now);
  }
  BOOST_TEST(reads <= 6);
  ConfirmView(freshness, now);
  BOOST_TEST((DirectReadDueAt(freshness) <= now + milliseconds(1500)));
}

}  // namespace poplarfork::fleet
