#include "gateway/store_item_driver.h"

#include <algorithm>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "base/error_func.h"
#include "clock/now_func.h"
#include "fleet/freshness_func.h"
#include "fleet/store_restore_func.h"
#include "fleet/view_func.h"
#include "gateway/configuration_driver.h"
#include "gateway/crash_sharing_driver.h"
#include "gateway/dispatch_driver.h"
#include "gateway/log_func.h"
#include "gateway/member_codec_func.h"
#include "gateway/peer_driver.h"
#include "gateway/registration.h"
#include "gateway/store_driver.h"
#include "gateway/store_era_driver.h"
#include "gateway/view_update_driver.h"
#include "metrics/registry_func.h"
#include "platform/store_func.h"
#include "platform/upstream_entry_func.h"

namespace poplarfork::gateway {

namespace {

using platform::StoreItem;

bool HasKeyPrefix(const StoreItem& item, std::string_view prefix) {
  return item.key.starts_with(prefix);
}

// Returns the part of the item's key after `prefix`.
std::string NameAfterPrefix(const StoreItem& item, std::string_view prefix) {
  return item.key.substr(prefix.size());
}

// Changes of the view and of the configuration that one response of the store
// caused.
struct Changes {
  // The items are a complete list, which may come from the copy that the store
  // was restored from. Otherwise they were written in the present era.
  bool is_listing = false;
  std::vector<fleet::UpstreamRecord> upstreams;
  std::vector<fleet::MemberRecord> members;
  bool configuration_changed = false;
};

// Returns whether entries may have expired in a store outage, or been lost by a
// restore, that ended so recently that upstreams may still write them again.
bool IsInRecoveryGrace(const Gateway& gateway, base::TimePoint now) {
  return gateway.store.recovered_at != base::TimePoint{} &&
         now - gateway.store.recovered_at < kExpiredEntryGrace;
}

// Marks an upstream as removed.
void RemoveUpstream(Gateway& gateway,
                    const base::UpstreamId& id,
                    fleet::StoreRevision revision,
                    const char* source,
                    Changes& changes) {
  const auto known = gateway.view.upstreams.find(id);
  if (known == gateway.view.upstreams.end())
    return;
  const auto deferred = gateway.store.deferred_removals.find(id);
  if (deferred != gateway.store.deferred_removals.end())
    revision = std::max(revision, deferred->second.revision);
  const auto removal = fleet::MakeRemoval(known->second, revision,
                                          changes.is_listing, clock::Now());
  if (removal && ApplyUpstreamRecord(gateway, *removal, source))
    changes.upstreams.push_back(*removal);
}

void LogWithheld(Gateway& gateway, const fleet::UpstreamRecord& record) {
  Log(gateway, "upstream_withheld",
      {{"upstream", record.entry.id.value},
       {"incarnation", record.entry.incarnation.value},
       {"sequence", record.entry.sequence},
       {"revision", record.change_revision.value}});
  metrics::IncrementCounter(gateway.metrics, "upstreams_withheld_total");
}

void ApplyUpstreamItem(Gateway& gateway,
                       const StoreItem& item,
                       Changes& changes) {
  const base::TimePoint now = clock::Now();
  const base::UpstreamId id{
      NameAfterPrefix(item, platform::kUpstreamKeyPrefix)};
  if (item.removed) {
    if (IsInRecoveryGrace(gateway, now)) {
      // Other daemons that know everything up to the revision of a list have
      // not missed the removal, which follows.
      const std::uint64_t delay = changes.is_listing ? 1 : 0;
      gateway.store.deferred_removals[id] = {
          {item.revision.value + delay},
          gateway.store.recovered_at + kExpiredEntryGrace};
      return;
    }
    RemoveUpstream(gateway, id, item.revision, "store", changes);
    return;
  }
  gateway.store.deferred_removals.erase(id);
  const auto entry = platform::ParseUpstreamEntry(id.value, item.value, now);
  if (!entry) {
    Log(gateway, "upstream_unreadable",
        {{"upstream", id.value},
         {"error", base::ToString(entry.error())},
         {"revision", item.revision.value}});
    metrics::IncrementCounter(gateway.metrics,
                              "upstream_entries_unreadable_total");
    RemoveUpstream(gateway, id, item.revision, "unreadable entry", changes);
    return;
  }
  fleet::UpstreamRecord record;
  record.entry = entry.value();
  record.change_revision = item.revision;
  record.learned_at = now;
  const auto known = gateway.view.upstreams.find(id);
  const bool is_first_in_era =
      known != gateway.view.upstreams.end() &&
      fleet::IsFromEarlierEra(gateway.view, known->second.change_revision);
  if (fleet::ClassifyReadEntry(gateway.view, record, changes.is_listing))
    return;
  const bool was_removed =
      known != gateway.view.upstreams.end() && known->second.removed;
  if (ApplyUpstreamRecord(gateway, record, "store")) {
    changes.upstreams.push_back(record);
    return;
  }
  if (was_removed && is_first_in_era && fleet::IsWithheld(known->second))
    LogWithheld(gateway, known->second);
}

void ApplyMemberItem(Gateway& gateway,
                     const StoreItem& item,
                     Changes& changes) {
  const base::TimePoint now = clock::Now();
  const base::DaemonId id{NameAfterPrefix(item, platform::kMemberKeyPrefix)};
  fleet::MemberRecord record;
  record.change_revision = item.revision;
  record.learned_at = now;
  const auto known = gateway.view.members.find(id);
  if (item.removed) {
    if (known == gateway.view.members.end())
      return;
    if (id == gateway.view.self) {
      RestartRegistration(gateway);
      return;
    }
    // The key of a daemon that still runs may have been lost, for example with
    // its lease. A daemon that was heard from recently is kept as a member, and
    // is told to register again by the reply to its next Hello.
    const bool heard_recently =
        now - known->second.last_heard_at < fleet::kMemberSilenceTimeout &&
        known->second.accepting;
    if (heard_recently && IsReader(gateway, now))
      return;
    // Members that the copy lacks write themselves again, like upstreams.
    if (changes.is_listing && now < gateway.store.relist_due_at)
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
      metrics::IncrementCounter(gateway.metrics,
                                "member_entries_unreadable_total");
      return;
    }
    record.member = member.value();
  }
  const bool is_known = known != gateway.view.members.end();
  const bool is_first_in_era =
      is_known &&
      fleet::IsFromEarlierEra(gateway.view, known->second.change_revision);
  // A member that left in an earlier era may come from the copy. One that still
  // runs is told by the reply to its Hello to register again.
  if (changes.is_listing && is_first_in_era && known->second.removed &&
      now - known->second.last_heard_at >= fleet::kMemberSilenceTimeout) {
    known->second.change_revision = record.change_revision;
    return;
  }
  const bool has_registered =
      !record.removed &&
      (!is_known || (!is_first_in_era &&
                     known->second.change_revision < record.change_revision));
  if (has_registered && id != gateway.view.self)
    SendCrashRecords(gateway, id);
  if (fleet::MergeMember(gateway.view, record)) {
    LogMember(gateway, record, "store");
    changes.members.push_back(record);
  }
}

// Asks the store readers which configuration is in force, or ends the wait for
// them if the store lists no other member.
void AskPeers(Gateway& gateway) {
  const bool is_alone = std::all_of(
      gateway.view.members.begin(), gateway.view.members.end(),
      [&gateway](const auto& item) {
        return item.first == gateway.view.self || item.second.removed;
      });
  if (is_alone)
    EndAwaitingPeers(gateway);
  else
    SendHellosToReaders(gateway);
}

void ApplyItem(Gateway& gateway, const StoreItem& item, Changes& changes) {
  if (HasKeyPrefix(item, platform::kUpstreamKeyPrefix)) {
    ApplyUpstreamItem(gateway, item, changes);
  } else if (HasKeyPrefix(item, platform::kMemberKeyPrefix)) {
    ApplyMemberItem(gateway, item, changes);
  } else if (item.key == platform::kConfigurationKey && !item.removed) {
    changes.configuration_changed |=
        InstallConfiguration(gateway, item.value, "store");
  }
}

void AnnounceChanges(Gateway& gateway, const Changes& changes) {
  AnnounceUpstreams(gateway, changes.upstreams);
  AnnounceMembers(gateway, changes.members);
  if (changes.configuration_changed)
    AnnounceConfiguration(gateway);
}

}  // namespace

void ApplyChanges(Gateway& gateway,
                  const platform::StoreItems& watched,
                  base::TimePoint read_at) {
  Changes changes;
  for (const StoreItem& item : watched.items)
    ApplyItem(gateway, item, changes);
  gateway.view.as_of = std::max(gateway.view.as_of, watched.as_of);
  gateway.list_progress = {};
  // All changes up to the revision that the watch started from were known
  // before, so the view is now complete.
  gateway.dispatcher.ready = true;
  fleet::ConfirmView(gateway.freshness, read_at);
  AnnounceChanges(gateway, changes);
}

void ApplyListing(Gateway& gateway, const Listing& listing) {
  const base::TimePoint now = clock::Now();
  Changes changes;
  changes.is_listing = true;
  std::set<base::UpstreamId> listed_upstreams;
  std::set<base::DaemonId> listed_members{gateway.view.self};
  for (const StoreItem& item : listing.items) {
    if (HasKeyPrefix(item, platform::kUpstreamKeyPrefix))
      listed_upstreams.insert(
          {NameAfterPrefix(item, platform::kUpstreamKeyPrefix)});
    else if (HasKeyPrefix(item, platform::kMemberKeyPrefix))
      listed_members.insert(
          {NameAfterPrefix(item, platform::kMemberKeyPrefix)});
    ApplyItem(gateway, item, changes);
  }
  const fleet::StoreRevision as_of = listing.as_of;
  const fleet::AbsentRecords absent = fleet::FindAbsentRecords(
      gateway.view, listed_upstreams, listed_members, as_of, now);
  for (const fleet::UpstreamRecord& record : absent.upstreams) {
    StoreItem removal{
        std::string(platform::kUpstreamKeyPrefix) + record.entry.id.value, "",
        as_of, true};
    ApplyItem(gateway, removal, changes);
  }
  for (const fleet::MemberRecord& record : absent.members) {
    StoreItem removal{
        std::string(platform::kMemberKeyPrefix) + record.member.id.value, "",
        as_of, true};
    ApplyItem(gateway, removal, changes);
  }
  gateway.view.as_of = std::max(gateway.view.as_of, as_of);
  gateway.view.removals_known_since = as_of;
  if (gateway.store.relist_due_at <= now)
    gateway.store.relist_due_at = {};
  // The list shows which of the entries were written again.
  std::erase_if(gateway.store.deferred_removals,
                [now](const auto& item) { return item.second.due_at <= now; });
  gateway.list_progress = {};
  gateway.dispatcher.ready = true;
  fleet::ConfirmView(gateway.freshness,
                     std::min(now, gateway.store.read_round_started_at));
  AnnounceChanges(gateway, changes);
  if (AwaitsPeers(gateway, now))
    AskPeers(gateway);
}

bool IsDeferredRemovalDue(const Gateway& gateway, base::TimePoint now) {
  const StoreClientState& store = gateway.store;
  const bool is_relist_due =
      store.relist_due_at != base::TimePoint{} && store.relist_due_at <= now;
  return is_relist_due ||
         std::any_of(
             store.deferred_removals.begin(), store.deferred_removals.end(),
             [now](const auto& item) { return item.second.due_at <= now; });
}

}  // namespace poplarfork::gateway
