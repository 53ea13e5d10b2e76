#include <condition_variable>
#include <mutex>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "tests/store/store_fixture.h"

namespace poplarfork::store {

namespace {

// Collects the events and errors that a watch delivers on the loop's thread.
struct Collector {
  std::mutex mutex;
  std::condition_variable result_received;
  std::vector<WatchEvent> events;
  std::vector<base::Error> errors;
};

struct WatchFixture : StoreFixture {
  WatchPtr StartPrefixWatch(const std::string& prefix, std::uint64_t from) {
    return RunOnLoop([=, this] {
      return StartWatch(this->client, prefix, StoreRevision{from},
                        [collector = this->collector](const auto& result) {
                          AddResult(*collector, result);
                        });
    });
  }

  static void AddResult(Collector& collector,
                        const base::Result<WatchBatch>& result) {
    const std::lock_guard lock(collector.mutex);
    if (result) {
      const auto& events = result.value().events;
      collector.events.insert(collector.events.end(), events.begin(),
                              events.end());
    } else {
      collector.errors.push_back(result.error());
    }
    collector.result_received.notify_all();
  }

  template <class Condition>
  void WaitUntil(Condition condition) {
    std::unique_lock lock(this->collector->mutex);
    BOOST_REQUIRE(this->collector->result_received.wait_for(
        lock, standin::kTestTimeout,
        [&] { return condition(*this->collector); }));
  }

  void WaitForEvents(std::size_t count) {
    this->WaitUntil([count](const Collector& collector) {
      return collector.events.size() >= count;
    });
  }

  void WaitForErrors(std::size_t count) {
    this->WaitUntil([count](const Collector& collector) {
      return collector.errors.size() >= count;
    });
  }

  std::shared_ptr<Collector> collector = std::make_shared<Collector>();
};

}  // namespace

// Guards against a watch that misses changes that were written after its start
// revision but before it connected, and against one that cannot receive a line
// of 600 KB.
BOOST_FIXTURE_TEST_CASE(WatchStartsFromGivenRevision, WatchFixture) {
  const WriteResult first = this->Create("log/1", "a");
  this->Create("log/2", "b");
  this->Create("other", "x");
  const WatchPtr watch =
      this->StartPrefixWatch("log/", first.revision.value + 1);
  this->WaitForEvents(1);
  this->Create("log/3", std::string(600 * 1024, 'c'));
  this->WaitForEvents(2);
  RunOnLoop([watch] { StopWatch(watch); });
  BOOST_TEST(this->collector->events[0].entry.key == "log/2");
  BOOST_TEST(this->collector->events[1].entry.value.size() == 600 * 1024);
  BOOST_TEST(this->collector->errors.empty());
}

// Guards against changes that are lost or delivered twice when the store closes
// its connections, refuses new ones for some time and accepts them again.
BOOST_FIXTURE_TEST_CASE(ReconnectedWatchDeliversEachChangeOnce, WatchFixture) {
  const WatchPtr watch = this->StartPrefixWatch("log/", 1);
  this->Create("log/1", "a");
  this->WaitForEvents(1);
  RunOnLoop([this] {
    standin::StopAccepting(*this->store->server);
    standin::ResetConnections(*this->store->server);
  });
  this->WaitForErrors(2);
  RunOnLoop([this] {
    standin::ResumeAccepting(this->store->server);
    (void)standin::RunOperation(this->store->state,
                                standin::PutRequest{"log/2", "b", 0});
  });
  this->WaitForEvents(2);
  this->Create("log/3", "c");
  this->WaitForEvents(3);
  RunOnLoop([watch] { StopWatch(watch); });
  BOOST_TEST(this->collector->events.size() == 3);
  BOOST_TEST(this->collector->events[1].entry.key == "log/2");
  BOOST_TEST(this->collector->events[2].entry.key == "log/3");
}

// Guards against a watch that waits forever on a connection that stays open but
// delivers no more data: the watch opens a new connection and gets the change
// there.
BOOST_FIXTURE_TEST_CASE(WatchOnSilentConnectionIsRenewed, WatchFixture) {
  RunOnLoop([this] {
    this->client->options.watch_renewal = std::chrono::milliseconds(200);
  });
  const WatchPtr watch = this->StartPrefixWatch("log/", 1);
  this->Create("log/1", "a");
  this->WaitForEvents(1);
  RunOnLoop(
      [this] { standin::SilenceConnections(*this->store->server, nullptr); });
  this->Create("log/2", "b");
  this->WaitForEvents(2);
  RunOnLoop([watch] { StopWatch(watch); });
  BOOST_TEST(this->collector->events.size() == 2);
  BOOST_TEST(this->collector->events[1].entry.value == "b");
}

// Guards against a watch that reports no error while the store accepts
// connections but never responds.
BOOST_FIXTURE_TEST_CASE(HangingStoreIsReportedToWatch, WatchFixture) {
  this->ApplyFault(R"({"kind":"down","mode":"hang"})");
  const WatchPtr watch = this->StartPrefixWatch("log/", 1);
  this->WaitForErrors(1);
  BOOST_TEST((this->collector->errors[0].code == base::ErrorCode::kTimeout));
  this->ApplyFault(R"({"kind":"none"})");
  this->Create("log/1", "a");
  this->WaitForEvents(1);
  RunOnLoop([watch] { StopWatch(watch); });
}

// Guards against a watch that silently skips changes that the store has
// compacted.
BOOST_FIXTURE_TEST_CASE(WatchFromCompactedRevisionEnds, WatchFixture) {
  RunOnLoop([this] { this->store->state.compacted_revision = 5; });
  const WatchPtr watch = this->StartPrefixWatch("log/", 3);
  this->WaitForErrors(1);
  BOOST_TEST((this->collector->errors[0].code == base::ErrorCode::kOutOfRange));
}

}  // namespace poplarfork::store
