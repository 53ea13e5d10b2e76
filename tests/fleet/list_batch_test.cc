#include <boost/test/unit_test.hpp>

#include <deque>
#include <string>
#include <vector>

#include "base/rng_func.h"
#include "fleet/list_batch_func.h"
#include "fleet/view_func.h"

namespace poplarfork::fleet {

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr base::TimePoint kNow{std::chrono::seconds(100)};

UpstreamRecord MakeUpstream(std::uint64_t number, std::uint64_t revision) {
  UpstreamRecord record;
  record.entry.id = {"u" + std::to_string(number)};
  record.entry.service = {"s"};
  record.entry.incarnation = {revision};
  record.change_revision = {revision};
  return record;
}

// Returns the view of a reader of the store that knows `count` upstreams.
View MakeReaderView(std::uint64_t count) {
  View view;
  view.self = {"reader"};
  for (std::uint64_t i = 1; i <= count; ++i)
    MergeUpstream(view, MakeUpstream(i, i));
  view.as_of = {count};
  view.removals_known_since = {count};
  return view;
}

// A daemon that receives a complete list.
struct Receiver {
  View view;
  ListTransfer transfer;
  bool complete = false;

  // Applies a batch and tells whether to request the next one.
  bool ReceiveBatch(const ListBatch& batch) {
    for (const UpstreamRecord& record : batch.upstreams)
      MergeUpstream(this->view, record);
    const BatchResult result = ApplyBatch(this->transfer, batch);
    if (result != BatchResult::kCompleted)
      return result == BatchResult::kApplied;
    const AbsentRecords absent =
        FindAbsentRecords(this->view, this->transfer.upstreams,
                          this->transfer.members, batch.as_of, kNow);
    for (const UpstreamRecord& record : absent.upstreams)
      MergeUpstream(this->view, record);
    this->transfer = {};
    this->complete = true;
    return false;
  }
};

std::map<std::string, std::uint64_t> PresentUpstreams(const View& view) {
  std::map<std::string, std::uint64_t> present;
  for (const auto& [id, record] : view.upstreams) {
    if (!record.removed)
      present[id.value] = record.entry.incarnation.value;
  }
  return present;
}

}  // namespace

// Guards against a list that is inconsistent because upstreams are added,
// removed and changed while it is sent in batches.
BOOST_AUTO_TEST_CASE(ListsAreConsistentDespiteChangesBetweenBatches) {
  base::Rng rng(kSeed);
  for (int round = 0; round < 50; ++round) {
    View reader = MakeReaderView(300);
    Receiver receiver;
    // The receiver knows an upstream that the list no longer names.
    MergeUpstream(receiver.view, MakeUpstream(9999, 1));
    while (receiver.ReceiveBatch(
        NextBatch(reader, receiver.transfer.received_up_to))) {
      for (int change = 0; change < 5; ++change) {
        const std::uint64_t revision = ++reader.as_of.value;
        UpstreamRecord record =
            MakeUpstream(base::UniformBelow(rng, 320) + 1, revision);
        record.removed = base::UniformBelow(rng, 3) == 0;
        MergeUpstream(reader, record);
      }
    }
    BOOST_TEST((PresentUpstreams(receiver.view) == PresentUpstreams(reader)));
  }
}

// Guards against a last batch that arrives twice, or from a second reader, and
// is taken for the complete list. This removed half of the members and
// upstreams, so that each daemon dispatched for itself. Randomized fault tests
// found it as violations of the rules RECOVER and BUDGET.
BOOST_AUTO_TEST_CASE(RepeatedBatchesRemoveNothing) {
  const View reader = MakeReaderView(100);
  std::vector<ListBatch> batches;
  for (StoreRevision cursor; batches.empty() || batches.back().more;
       cursor = batches.back().as_of)
    batches.push_back(NextBatch(reader, cursor));
  BOOST_REQUIRE(batches.size() == 3U);
  base::Rng rng(kSeed);
  for (int round = 0; round < 200; ++round) {
    Receiver receiver;
    // The batches of two readers arrive in any order, some of them twice.
    for (int i = 0; i < 30; ++i) {
      receiver.ReceiveBatch(batches[base::UniformBelow(rng, batches.size())]);
      if (receiver.complete)
        BOOST_TEST(
            (PresentUpstreams(receiver.view) == PresentUpstreams(reader)));
    }
  }
  Receiver receiver;
  for (const ListBatch& batch : batches)
    receiver.ReceiveBatch(batch);
  BOOST_TEST(receiver.complete);
}

// Guards against records of one transaction that are split between two batches:
// those in the second batch would be assumed to be known already.
BOOST_AUTO_TEST_CASE(RecordsOfOneRevisionStayTogether) {
  View reader;
  for (std::uint64_t i = 0; i < 3 * kMinBatchRecords; ++i)
    MergeUpstream(reader, MakeUpstream(i, 7));
  reader.as_of = {7};
  const ListBatch batch = NextBatch(reader, {0});
  BOOST_TEST(batch.upstreams.size() == 3 * kMinBatchRecords);
  BOOST_TEST(!batch.more);
}

// Guards against a reader whose network link is flooded when all daemons start
// at once. When complete lists were sent in one burst, most datagrams were
// lost, no list became complete, and each daemon requested the whole list
// again. Simulates 108 daemons that request lists from one reader, whose link
// has a queue of 512 datagrams and sends one of them per step.
BOOST_AUTO_TEST_CASE(AllDaemonsGetTheirListOverASlowLink) {
  constexpr std::size_t kDaemons = 108;
  constexpr std::size_t kRecords = 480;
  constexpr std::size_t kRecordsPerDatagram = 10;
  constexpr std::size_t kQueueDatagrams = 512;
  // The datagrams that the link must carry in any case, and a tenth more for
  // repeated batches.
  constexpr std::size_t kMaxSteps =
      kDaemons * kRecords / kRecordsPerDatagram * 11 / 10;
  constexpr std::size_t kRepeatSteps = 1000;
  const View reader = MakeReaderView(kRecords);
  struct RequestingDaemon {
    Receiver receiver;
    ListBatch batch;
    std::size_t missing_datagrams = 0;
    std::size_t requested_at_step = 0;
  };
  std::vector<RequestingDaemon> daemons(kDaemons);
  std::deque<std::size_t> link;
  const auto request_batch = [&](std::size_t daemon, std::size_t step) {
    RequestingDaemon& requester = daemons[daemon];
    requester.batch =
        NextBatch(reader, requester.receiver.transfer.received_up_to);
    requester.missing_datagrams =
        (requester.batch.upstreams.size() + kRecordsPerDatagram - 1) /
        kRecordsPerDatagram;
    requester.requested_at_step = step;
    for (std::size_t i = 0; i < requester.missing_datagrams; ++i) {
      if (link.size() < kQueueDatagrams)
        link.push_back(daemon);
    }
  };
  for (std::size_t daemon = 0; daemon < kDaemons; ++daemon)
    request_batch(daemon, 0);
  std::size_t complete = 0;
  std::size_t step = 0;
  for (; complete < kDaemons && step < 4 * kMaxSteps; ++step) {
    if (!link.empty()) {
      RequestingDaemon& requester = daemons[link.front()];
      const std::size_t daemon = link.front();
      link.pop_front();
      if (requester.missing_datagrams > 0 &&
          --requester.missing_datagrams == 0) {
        if (requester.receiver.ReceiveBatch(requester.batch))
          request_batch(daemon, step);
        else
          ++complete;
      }
    }
    for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
      if (!daemons[daemon].receiver.complete &&
          step - daemons[daemon].requested_at_step > kRepeatSteps)
        request_batch(daemon, step);
    }
  }
  BOOST_TEST(complete == kDaemons);
  BOOST_TEST(step <= kMaxSteps);
}

}  // namespace poplarfork::fleet
