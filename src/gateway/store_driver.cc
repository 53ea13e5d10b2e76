#include "gateway/store_driver.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/error_func.h"
#include "clock/now_func.h"
#include "fleet/view_func.h"
#include "gateway/configuration_driver.h"
#include "gateway/dispatch_driver.h"
#include "gateway/log_func.h"
#include "gateway/member_value_func.h"
#include "gateway/news_driver.h"
#include "gateway/peer_driver.h"
#include "gateway/registration.h"
#include "gateway/store_call.h"
#include "gateway/store_listing.h"
#include "metrics/registry_func.h"
#include "platform/store_func.h"
#include "platform/upstream_entry_func.h"

namespace poplarfork::gateway {

namespace {

using platform::StoreItem;

// Longest time for which the store holds a watch open until there is a change.
// Upstreams write several times a second, so if no change arrives for longer,
// the store or the connection has failed.
constexpr base::Duration kWatchWait = std::chrono::milliseconds(1000);

// Interval between two read rounds. The changes of one interval are read
// together, because each answered watch counts as one call to the store. The
// interval is limited by the requirement that all daemons know within 2 s that
// an upstream leaves.
constexpr base::Duration kReadInterval = std::chrono::milliseconds(350);

// Time after a store outage during which removals of upstreams are deferred.
// Upstreams whose entries expired during the outage write them again within two
// seconds after its end.
constexpr base::Duration kLapseGrace = std::chrono::milliseconds(2200);

void ReadOn(Gateway& gateway);
void ReadConfigurationLater(Gateway& gateway);

bool IsUnderPrefix(const StoreItem& item, std::string_view prefix) {
  return item.key.starts_with(prefix);
}

// Returns the part of the item's key after `prefix`.
std::string NameIn(const StoreItem& item, std::string_view prefix) {
  return item.key.substr(prefix.size());
}

// Changes of the view and of the configuration that one response of the store
// caused.
struct Changes {
  std::vector<fleet::UpstreamRecord> upstreams;
  std::vector<fleet::MemberRecord> members;
  bool configuration = false;
};

// Returns whether a store outage ended so recently that upstreams may still
// write expired entries again.
bool IsAfterOutage(const Gateway& gateway, base::TimePoint now) {
  return gateway.store.returned_at != base::TimePoint{} &&
         now - gateway.store.returned_at < kLapseGrace;
}

// Marks an upstream as removed. The revision of the removal is at least the one
// after its last change, so that other daemons accept the removal as newer.
void RemoveUpstream(Gateway& gateway,
                    const base::UpstreamId& id,
                    fleet::StoreRevision revision,
                    const char* source,
                    Changes& changes) {
  const auto known = gateway.view.upstreams.find(id);
  if (known == gateway.view.upstreams.end())
    return;
  fleet::UpstreamRecord record = known->second;
  record.removed = true;
  record.change_revision =
      std::max(revision, {known->second.change_revision.value + 1});
  record.learned_at = clock::Now();
  if (TakeUpstreamRecord(gateway, record, source))
    changes.upstreams.push_back(record);
}

void TakeUpstreamItem(Gateway& gateway,
                      const StoreItem& item,
                      Changes& changes) {
  const base::TimePoint now = clock::Now();
  const base::UpstreamId id{NameIn(item, platform::kUpstreamPrefix)};
  if (item.removed) {
    if (IsAfterOutage(gateway, now)) {
      gateway.store.held[id] = {item.revision,
                                gateway.store.returned_at + kLapseGrace};
      return;
    }
    RemoveUpstream(gateway, id, item.revision, "store", changes);
    return;
  }
  gateway.store.held.erase(id);
  const auto entry = platform::ParseUpstreamEntry(id.value, item.value, now);
  if (!entry) {
    Log(gateway, "upstream_unreadable",
        {{"upstream", id.value},
         {"error", base::ToString(entry.error())},
         {"revision", item.revision.value}});
    metrics::Count(gateway.metrics, "upstream_entries_unreadable_total");
    RemoveUpstream(gateway, id, item.revision, "unreadable entry", changes);
    return;
  }
  fleet::UpstreamRecord record;
  record.entry = entry.value();
  record.change_revision = item.revision;
  record.learned_at = now;
  const auto known = gateway.view.upstreams.find(id);
  // As a heartbeat, upstreams write the same entry repeatedly. This is no
  // change.
  if (known != gateway.view.upstreams.end() && !known->second.removed &&
      fleet::IsSameEntry(known->second.entry, record.entry))
    return;
  if (TakeUpstreamRecord(gateway, record, "store"))
    changes.upstreams.push_back(record);
}

void TakeMemberItem(Gateway& gateway, const StoreItem& item, Changes& changes) {
  const base::TimePoint now = clock::Now();
  const base::DaemonId id{NameIn(item, platform::kMemberPrefix)};
  fleet::MemberRecord record;
  record.change_revision = item.revision;
  record.learned_at = now;
  const auto known = gateway.view.members.find(id);
  if (item.removed) {
    if (known == gateway.view.members.end())
      return;
    if (id == gateway.view.self) {
      RegisterAgain(gateway);
      return;
    }
    // The key of a daemon that still runs may have been lost, for example with
    // its lease. A daemon that was heard from recently is kept as a member, and
    // is told to register again by the reply to its next Hello.
    const bool heard =
        now - known->second.last_heard_at < fleet::kMemberSilenceTimeout &&
        known->second.accepting;
    if (heard && IsReader(gateway, now))
      return;
    record = known->second;
    record.change_revision = item.revision;
    record.removed = true;
    record.learned_at = now;
  } else {
    const auto member = DecodeMember(item.value);
    if (!member) {
      Log(gateway, "member_unreadable",
          {{"member", id.value}, {"error", base::ToString(member.error())}});
      metrics::Count(gateway.metrics, "member_entries_unreadable_total");
      return;
    }
    record.member = member.value();
  }
  if (fleet::MergeMember(gateway.view, record)) {
    LogMember(gateway, record, "store");
    changes.members.push_back(record);
  }
}

void TakeItem(Gateway& gateway, const StoreItem& item, Changes& changes) {
  if (IsUnderPrefix(item, platform::kUpstreamPrefix)) {
    TakeUpstreamItem(gateway, item, changes);
  } else if (IsUnderPrefix(item, platform::kMemberPrefix)) {
    TakeMemberItem(gateway, item, changes);
  } else if (item.key == platform::kConfigurationKey && !item.removed) {
    changes.configuration |= InstallConfiguration(gateway, item.value, "store");
  }
}

void Announce(Gateway& gateway, const Changes& changes) {
  AnnounceUpstreams(gateway, changes.upstreams);
  AnnounceMembers(gateway, changes.members);
  if (changes.configuration)
    AnnounceConfiguration(gateway);
}

// Removes the upstreams whose deferred removals are due, because their entries
// have not been written again after an outage. The removals get the revision of
// the current read, which is later than what other daemons know, so that these
// are sent the removals.
void RemoveHeld(Gateway& gateway,
                fleet::StoreRevision as_of,
                Changes& changes) {
  const base::TimePoint now = clock::Now();
  for (auto item = gateway.store.held.begin();
       item != gateway.store.held.end();) {
    if (item->second.until > now) {
      ++item;
      continue;
    }
    RemoveUpstream(gateway, item->first, std::max(item->second.revision, as_of),
                   "missing after a store outage", changes);
    item = gateway.store.held.erase(item);
  }
}

void ReadLater(Gateway& gateway, base::Duration pause) {
  gateway.store_timer.expires_after(std::max(pause, base::Duration(0)));
  gateway.store_timer.async_wait(
      [&gateway](const boost::system::error_code& error) {
        if (!error)
          ReadOn(gateway);
      });
}

// Applies the complete lists of upstreams and members, and removes everything
// from the view that they do not contain.
void TakeLists(Gateway& gateway,
               const Listing& upstreams,
               const Listing& members) {
  const base::TimePoint now = clock::Now();
  Changes changes;
  std::set<base::UpstreamId> named_upstreams;
  std::set<base::DaemonId> named_members{gateway.view.self};
  for (const StoreItem& item : upstreams.items) {
    named_upstreams.insert({NameIn(item, platform::kUpstreamPrefix)});
    TakeItem(gateway, item, changes);
  }
  for (const StoreItem& item : members.items) {
    named_members.insert({NameIn(item, platform::kMemberPrefix)});
    TakeItem(gateway, item, changes);
  }
  const fleet::StoreRevision as_of = upstreams.as_of;
  const fleet::AbsentRecords absent = fleet::FindAbsentRecords(
      gateway.view, named_upstreams, named_members, as_of, now);
  for (const fleet::UpstreamRecord& record : absent.upstreams) {
    StoreItem removal{
        std::string(platform::kUpstreamPrefix) + record.entry.id.value, "",
        as_of, true};
    TakeItem(gateway, removal, changes);
  }
  for (const fleet::MemberRecord& record : absent.members) {
    StoreItem removal{
        std::string(platform::kMemberPrefix) + record.member.id.value, "",
        as_of, true};
    TakeItem(gateway, removal, changes);
  }
  gateway.view.as_of = std::max(gateway.view.as_of, as_of);
  gateway.view.removals_known_since = as_of;
  gateway.list = {};
  gateway.dispatcher.ready = true;
  Announce(gateway, changes);
}

// Reads all upstreams and members, then the configuration.
void ListAll(Gateway& gateway) {
  ListStore(gateway, platform::kUpstreamPrefix,
            [&gateway](const Listing* upstreams) {
              if (!upstreams) {
                ReadLater(gateway, StoreRetryPause(gateway));
                return;
              }
              ListStore(gateway, platform::kMemberPrefix,
                        [&gateway, known = *upstreams](const Listing* members) {
                          if (!members) {
                            ReadLater(gateway, StoreRetryPause(gateway));
                            return;
                          }
                          TakeLists(gateway, known, *members);
                          ReadConfiguration(gateway);
                          ReadLater(gateway, kReadInterval);
                        });
            });
}

void OnWatched(Gateway& gateway, const StoreAnswer& answer) {
  if (answer.status == 410) {
    Log(gateway, "store_history_lost",
        {{"known_to_revision", gateway.view.as_of.value}});
    ListAll(gateway);
    return;
  }
  auto changed = platform::ParseChanges(answer.body);
  if (answer.status != 200 || !changed) {
    if (answer.status == 200)
      Log(gateway, "store_answer_unreadable",
          {{"call", "watch"}, {"error", base::ToString(changed.error())}});
    ReadLater(gateway, StoreRetryPause(gateway));
    return;
  }
  Changes changes;
  for (const StoreItem& item : changed.value().items)
    TakeItem(gateway, item, changes);
  RemoveHeld(gateway, changed.value().as_of, changes);
  gateway.view.as_of = std::max(gateway.view.as_of, changed.value().as_of);
  gateway.list = {};
  // All changes up to the revision that the watch started from were known
  // before, so the view is now complete.
  gateway.dispatcher.ready = true;
  Announce(gateway, changes);
  ReadLater(gateway,
            kReadInterval - (clock::Now() - gateway.store.read_started_at));
}

// Starts one round of reading the store: the complete lists if none are known,
// or otherwise the changes since the last round. Stops reading if this daemon
// is no longer a store reader.
void ReadOn(Gateway& gateway) {
  const base::TimePoint now = clock::Now();
  if (!IsReader(gateway, now) && gateway.view.as_of.value > 0) {
    gateway.store.reading = false;
    Log(gateway, "store_reading_stopped",
        {{"known_to_revision", gateway.view.as_of.value}});
    return;
  }
  gateway.store.reading = true;
  gateway.store.read_started_at = now;
  if (gateway.view.as_of.value == 0) {
    ListAll(gateway);
    return;
  }
  // The lists may have come from another daemon that has no configuration, in
  // which case none has been read yet.
  if (!gateway.configuration)
    ReadConfiguration(gateway);
  CallStore(
      gateway, platform::WatchRequest("", gateway.view.as_of, kWatchWait),
      kWatchWait + kStoreCallTimeout,
      [&gateway](const StoreAnswer& answer) { OnWatched(gateway, answer); });
}

void ReadConfigurationLater(Gateway& gateway) {
  gateway.configuration_timer.expires_after(StoreRetryPause(gateway));
  gateway.configuration_timer.async_wait(
      [&gateway](const boost::system::error_code& error) {
        if (!error)
          ReadConfiguration(gateway);
      });
}

}  // namespace

void StartStore(Gateway& gateway) {
  StartRegistration(gateway);
  gateway.store.serving_since = clock::Now();
  ReadOn(gateway);
}

void KeepReading(Gateway& gateway) {
  if (gateway.store.reading)
    return;
  Log(gateway, "store_reading_started",
      {{"known_to_revision", gateway.view.as_of.value}});
  gateway.store.serving_since = clock::Now();
  ReadOn(gateway);
}

void ReadConfiguration(Gateway& gateway) {
  if (gateway.fetching_configuration)
    return;
  gateway.fetching_configuration = true;
  CallStore(gateway, platform::ReadItemRequest(platform::kConfigurationKey),
            kStoreCallTimeout, [&gateway](const StoreAnswer& answer) {
              gateway.fetching_configuration = false;
              const auto item = platform::ParseItem(answer.body);
              // The operator has not written a configuration yet. The first one
              // will arrive as a change.
              if (answer.status == 404)
                return;
              if (answer.status != 200 || !item) {
                ReadConfigurationLater(gateway);
                return;
              }
              if (InstallConfiguration(gateway, item.value().value, "store"))
                AnnounceConfiguration(gateway);
            });
}

void LogMember(Gateway& gateway,
               const fleet::MemberRecord& record,
               const char* source) {
  Log(gateway, "member_known",
      {{"member", record.member.id.value},
       {"data_centre", record.member.data_centre.value},
       {"capacity", record.member.capacity},
       {"removed", record.removed},
       {"revision", record.change_revision.value},
       {"source", source}});
}

}  // namespace poplarfork::gateway
