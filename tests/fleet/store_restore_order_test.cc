#include <boost/test/unit_test.hpp>

#include <array>
#include <map>
#include <string>
#include <vector>

#include "base/rng_func.h"
#include "fleet/store_restore_func.h"
#include "fleet/view_func.h"

namespace poplarfork::fleet {

namespace {

constexpr std::uint64_t kSeeds = 6000;
constexpr int kEventsPerSeed = 120;
constexpr std::size_t kUpstreams = 4;
constexpr std::size_t kDaemons = 3;
constexpr base::TimePoint kNow{std::chrono::seconds(100)};
constexpr std::uint64_t kEraSize = 1'000'000;

struct Entry {
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::uint64_t revision = 0;
};

struct Change {
  std::size_t upstream = 0;
  Entry entry;
  bool removed = false;
};

// What the store holds, and the copy that a restore brings back.
struct Store {
  std::map<std::size_t, Entry> entries;
  std::vector<Change> history;
  std::uint64_t revision = 1;
  std::uint64_t era = 0;
  std::map<std::size_t, Entry> copied_entries;
  std::uint64_t copied_revision = 1;
};

struct Upstream {
  bool is_running = false;
  // It has written itself in the present era, or there has been no restore.
  bool has_written_in_era = false;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
};

struct Daemon {
  View view;
  // Upstreams whose last removal this daemon has learned of and that have not
  // written themselves since.
  std::array<bool, kUpstreams> knows_removal{};
};

base::UpstreamId IdOf(std::size_t upstream) {
  return {"u" + std::to_string(upstream)};
}

// A store, upstreams and daemons to which events happen in a random order. The
// daemons apply what they read and are told as a gateway does.
struct Scene {
  explicit Scene(std::uint64_t seed) : rng(seed) {}

  std::size_t Draw(std::size_t count) {
    return static_cast<std::size_t>(base::UniformBelow(this->rng, count));
  }

  StoreRevision Compose(std::uint64_t revision) const {
    return {this->store.era * kEraSize + revision};
  }

  void Write(std::size_t index) {
    Upstream& upstream = this->upstreams.at(index);
    if (!upstream.is_running) {
      // It starts again, in some cases without a later birth.
      upstream.is_running = true;
      upstream.incarnation += this->Draw(2);
    }
    ++upstream.sequence;
    upstream.has_written_in_era = true;
    for (Daemon& daemon : this->daemons)
      daemon.knows_removal.at(index) = false;
    const Entry entry{upstream.incarnation, upstream.sequence,
                      ++this->store.revision};
    this->store.entries[index] = entry;
    this->store.history.push_back({index, entry, false});
  }

  void Leave(std::size_t index) {
    this->upstreams.at(index).is_running = false;
    if (this->store.entries.erase(index) > 0)
      this->store.history.push_back(
          {index, {0, 0, ++this->store.revision}, true});
  }

  void KeepCopy() {
    this->store.copied_entries = this->store.entries;
    this->store.copied_revision = this->store.revision;
  }

  void Restore() {
    this->store.entries = this->store.copied_entries;
    this->store.revision = this->store.copied_revision;
    this->store.history.clear();
    ++this->store.era;
    for (Upstream& upstream : this->upstreams)
      upstream.has_written_in_era = false;
  }

  UpstreamRecord MakeRecord(std::size_t index, const Entry& entry) const {
    UpstreamRecord record;
    record.entry.id = IdOf(index);
    record.entry.service = {"s"};
    record.entry.incarnation = {entry.incarnation};
    record.entry.sequence = entry.sequence;
    record.change_revision = this->Compose(entry.revision);
    record.learned_at = kNow;
    return record;
  }

  void ApplyRemoval(Daemon& daemon,
                    std::size_t index,
                    StoreRevision revision,
                    bool is_listed) {
    const auto known = daemon.view.upstreams.find(IdOf(index));
    if (known == daemon.view.upstreams.end())
      return;
    const auto removal = MakeRemoval(known->second, revision, is_listed, kNow);
    if (!removal)
      return;
    MergeUpstream(daemon.view, *removal);
    if (!this->upstreams.at(index).is_running)
      daemon.knows_removal.at(index) = true;
  }

  void ApplyEntry(Daemon& daemon,
                  std::size_t index,
                  const Entry& entry,
                  bool is_listed) {
    UpstreamRecord record = this->MakeRecord(index, entry);
    if (!ClassifyReadEntry(daemon.view, record, is_listed))
      MergeUpstream(daemon.view, record);
  }

  // Lists the store. What the copy lacks stays until it has had time to write
  // itself again.
  void List(Daemon& daemon) {
    BeginEra(daemon.view, this->Compose(0));
    for (const auto& [index, entry] : this->store.entries)
      this->ApplyEntry(daemon, index, entry, true);
    for (std::size_t index = 0; index < kUpstreams; ++index) {
      const auto known = daemon.view.upstreams.find(IdOf(index));
      if (this->store.entries.contains(index) ||
          known == daemon.view.upstreams.end() ||
          (known->second.removed && !known->second.restored))
        continue;
      const bool may_return =
          IsFromEarlierEra(daemon.view, known->second.change_revision) &&
          this->upstreams.at(index).is_running;
      if (!may_return)
        this->ApplyRemoval(daemon, index, this->Compose(this->store.revision),
                           true);
    }
    daemon.view.as_of = this->Compose(this->store.revision);
  }

  // Reads the changes since the last read, or lists the store.
  void Read(Daemon& daemon) {
    const StoreRevision start = this->Compose(0);
    if (daemon.view.as_of <= start || daemon.view.era_start < start) {
      this->List(daemon);
      return;
    }
    for (const Change& change : this->store.history) {
      if (this->Compose(change.entry.revision) <= daemon.view.as_of)
        continue;
      if (change.removed)
        this->ApplyRemoval(daemon, change.upstream,
                           this->Compose(change.entry.revision), false);
      else
        this->ApplyEntry(daemon, change.upstream, change.entry, false);
    }
    daemon.view.as_of = this->Compose(this->store.revision);
  }

  // Takes down what one daemon tells; it may arrive much later.
  void Tell(const Daemon& from) {
    std::vector<UpstreamRecord> records;
    for (auto [id, record] : from.view.upstreams) {
      record.earlier_revision = {};
      records.push_back(record);
    }
    this->messages.push_back({from.view.era_start, records});
  }

  void Receive(Daemon& to, std::size_t message) {
    const auto [era_start, records] = this->messages.at(message);
    BeginEra(to.view, era_start);
    for (const UpstreamRecord& record : records)
      MergeUpstream(to.view, record);
  }

  // Checks that no daemon uses an upstream of which it knows that it has left.
  bool UsesNoneThatLeft() const {
    for (const Daemon& daemon : this->daemons) {
      for (std::size_t index = 0; index < kUpstreams; ++index) {
        if (daemon.knows_removal.at(index) && this->IsUsed(daemon, index))
          return false;
      }
    }
    return true;
  }

  bool IsUsed(const Daemon& daemon, std::size_t index) const {
    const auto known = daemon.view.upstreams.find(IdOf(index));
    return known != daemon.view.upstreams.end() && !known->second.removed;
  }

  // Every daemon reads, and every two daemons exchange what they know.
  void Settle() {
    for (int round = 0; round < 2; ++round) {
      for (Daemon& daemon : this->daemons)
        this->Read(daemon);
      for (const Daemon& from : this->daemons) {
        this->Tell(from);
        for (Daemon& to : this->daemons)
          this->Receive(to, this->messages.size() - 1);
      }
    }
  }

  // Draws one event.
  void Step() {
    const std::size_t index = this->Draw(kUpstreams);
    Daemon& daemon = this->daemons.at(this->Draw(kDaemons));
    const std::size_t event = this->Draw(100);
    if (event < 25)
      this->Write(index);
    else if (event < 33)
      this->Leave(index);
    else if (event < 37)
      this->KeepCopy();
    else if (event < 40)
      this->Restore();
    else if (event < 65)
      this->Read(daemon);
    else if (event < 70)
      this->List(daemon);
    else if (event < 80)
      this->Tell(daemon);
    else if (event < 99 && !this->messages.empty())
      this->Receive(daemon, this->Draw(this->messages.size()));
    else
      daemon = {};
  }

  base::Rng rng;
  Store store;
  std::array<Upstream, kUpstreams> upstreams;
  std::array<Daemon, kDaemons> daemons;
  std::vector<std::pair<StoreRevision, std::vector<UpstreamRecord>>> messages;
};

}  // namespace

// Guards against an order of writes, removals, restores, lists, messages and
// late messages after which a daemon uses an upstream that it knows has left,
// or after which daemons that have heard of each other disagree or do not use
// an upstream that has written itself again.
BOOST_AUTO_TEST_CASE(NoOrderOfEventsBringsBackWhatHasLeft) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Scene scene(seed);
    for (int event = 0; event < kEventsPerSeed; ++event) {
      scene.Step();
      if (!scene.UsesNoneThatLeft())
        BOOST_FAIL("a departed upstream is used: seed " << seed << ", event "
                                                        << event);
    }
    std::array<bool, kUpstreams> is_removal_known{};
    for (std::size_t index = 0; index < kUpstreams; ++index) {
      for (const Daemon& daemon : scene.daemons)
        is_removal_known.at(index) |= daemon.knows_removal.at(index);
    }
    // All running upstreams send two heartbeats. The first one may be read as
    // part of a list, as if it came from the copy.
    for (int heartbeat = 0; heartbeat < 2; ++heartbeat) {
      for (Daemon& daemon : scene.daemons)
        scene.Read(daemon);
      for (std::size_t index = 0; index < kUpstreams; ++index) {
        if (scene.upstreams.at(index).is_running)
          scene.Write(index);
      }
    }
    scene.Settle();
    for (std::size_t index = 0; index < kUpstreams; ++index) {
      for (const Daemon& daemon : scene.daemons) {
        const bool is_used = scene.IsUsed(daemon, index);
        if (scene.upstreams.at(index).is_running && !is_used)
          BOOST_FAIL("a running upstream is not used: seed "
                     << seed << ", upstream " << index);
        if (is_removal_known.at(index) && is_used)
          BOOST_FAIL(
              "a departed upstream is used after all daemons told each "
              "other: seed "
              << seed << ", upstream " << index);
      }
    }
  }
}

}  // namespace poplarfork::fleet
