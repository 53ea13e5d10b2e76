#include "gateway/view_update_driver.h"

#include <algorithm>
#include <utility>

#include "clock/now_func.h"
#include "fleet/freshness_func.h"
#include "fleet/list_batch_func.h"
#include "fleet/store_restore_func.h"
#include "fleet/view_func.h"
#include "gateway/configuration_driver.h"
#include "gateway/dispatch_driver.h"
#include "gateway/peer_driver.h"
#include "gateway/registration.h"
#include "gateway/store_driver.h"
#include "gateway/store_era_driver.h"

namespace poplarfork::gateway {

namespace {

// Largest number of records in one datagram, which keeps the datagram within
// one packet of 1500 bytes.
constexpr std::size_t kRecordsPerDatagram = 10;

// If a store reader sends no further batch of a list for this long, the list is
// requested from another store reader. A batch normally takes a few
// milliseconds.
constexpr base::Duration kBatchTimeout = std::chrono::milliseconds(500);

// Returns the members that have been silent for too long or do not accept
// requests of callers.
std::vector<base::DaemonId> FindUnavailableMembers(const Gateway& gateway,
                                                   base::TimePoint now) {
  std::vector<base::DaemonId> members;
  for (const auto& [id, record] : gateway.view.members) {
    if (record.removed || id == gateway.view.self)
      continue;
    const bool silent =
        now - record.last_heard_at > fleet::kMemberSilenceTimeout;
    if (silent || !record.accepting)
      members.push_back(id);
  }
  if (!IsAccepting(gateway))
    members.push_back(gateway.view.self);
  return members;
}

// Returns whether this daemon may report members as unavailable. It must have
// been a store reader for long enough that every member has had time to send it
// a Hello.
bool CanReportUnavailable(const Gateway& gateway, base::TimePoint now) {
  return IsReader(gateway, now) &&
         now - gateway.store.reader_since >
             fleet::kMemberSilenceTimeout + fleet::kHelloInterval;
}

// Returns a view update without records.
datagram::ViewUpdate MakeEmptyUpdate(const Gateway& gateway,
                                     base::TimePoint now) {
  datagram::ViewUpdate update;
  if (gateway.configuration)
    update.configuration_version = gateway.configuration->version;
  update.store_stale = IsStoreStale(gateway, now);
  if (gateway.freshness.confirmed_at != base::TimePoint{})
    update.read_age = now - gateway.freshness.confirmed_at;
  update.era = gateway.store.era;
  return update;
}

// Sends `batch` in as many datagrams as it needs, each with the fields of
// `update`. The list of unavailable members is sent in the first datagram only.
void SendViewUpdate(Gateway& gateway,
                    const base::DaemonId& to,
                    datagram::ViewUpdate update,
                    const fleet::ListBatch& batch) {
  const std::size_t record_count =
      batch.members.size() + batch.upstreams.size();
  const std::size_t part_count = std::max<std::size_t>(
      (record_count + kRecordsPerDatagram - 1) / kRecordsPerDatagram, 1);
  if (update.as_of.value > 0)
    update.part_count = static_cast<std::uint32_t>(part_count);
  for (std::size_t part = 0; part < part_count; ++part) {
    update.part_index = static_cast<std::uint32_t>(part);
    update.members.clear();
    update.upstreams.clear();
    const std::size_t part_end =
        std::min((part + 1) * kRecordsPerDatagram, record_count);
    for (std::size_t i = part * kRecordsPerDatagram; i < part_end; ++i) {
      if (i < batch.members.size())
        update.members.push_back(batch.members[i]);
      else
        update.upstreams.push_back(batch.upstreams[i - batch.members.size()]);
    }
    SendToDaemon(gateway, to, update);
    update.has_unavailable = false;
    update.unavailable.clear();
  }
}

// Sends records to one daemon without a revision, so that they do not complete
// the receiver's view.
void SendRecords(Gateway& gateway,
                 const base::DaemonId& to,
                 const std::vector<fleet::UpstreamRecord>& upstreams,
                 base::TimePoint now) {
  if (!upstreams.empty())
    SendViewUpdate(gateway, to, MakeEmptyUpdate(gateway, now),
                   {{}, {}, false, {}, upstreams});
}

// Tells the other daemons of upstreams whose earlier removal this daemon has
// just learned of. The revision is raised so that daemons that miss the
// announcement get the record with the reply to their next Hello.
void AnnounceWithheld(Gateway& gateway,
                      const std::vector<base::UpstreamId>& ids) {
  std::vector<fleet::UpstreamRecord> records;
  for (const base::UpstreamId& id : ids) {
    fleet::UpstreamRecord& record = gateway.view.upstreams.at(id);
    record.change_revision =
        std::max(record.change_revision, {gateway.view.as_of.value + 1});
    records.push_back(record);
  }
  AnnounceUpstreams(gateway, records);
}

// Merges the records of one datagram into the view. Tells the sender of the
// removals that it has missed.
void MergeViewUpdate(Gateway& gateway,
                     const base::DaemonId& from,
                     const datagram::ViewUpdate& update,
                     base::TimePoint now) {
  for (const fleet::MemberRecord& record : update.members) {
    if (fleet::MergeMember(gateway.view, record))
      LogMember(gateway, record, "peer");
  }
  std::vector<base::UpstreamId> newly_withheld;
  std::vector<fleet::UpstreamRecord> missed_removals;
  for (const fleet::UpstreamRecord& record : update.upstreams) {
    const bool has_changed = ApplyUpstreamRecord(gateway, record, "peer");
    const fleet::UpstreamRecord& known =
        gateway.view.upstreams.at(record.entry.id);
    if (has_changed && fleet::IsWithheld(known))
      newly_withheld.push_back(record.entry.id);
    if (fleet::IsUnawareOfRemoval(gateway.view, record))
      missed_removals.push_back(known);
  }
  if (gateway.store.is_reading && !newly_withheld.empty())
    AnnounceWithheld(gateway, newly_withheld);
  SendRecords(gateway, from, missed_removals, now);
}

// Returns the revision up to which the sent records are complete. It is
// `as_of`, or the revision before the earliest removal that is deferred after a
// store outage. A daemon that considered its view complete up to a later
// revision would never ask for the deferred removals.
fleet::StoreRevision LimitToDeferredRemovals(const Gateway& gateway,
                                             fleet::StoreRevision as_of) {
  for (const auto& [id, removal] : gateway.store.deferred_removals) {
    if (removal.revision.value > 0)
      as_of = std::min(as_of, {removal.revision.value - 1});
  }
  return as_of;
}

// Ends the reception of the whole list: removes the upstreams and members that
// it did not contain, and marks the view as complete up to `as_of`.
void CompleteList(Gateway& gateway,
                  fleet::StoreRevision as_of,
                  base::TimePoint now) {
  const fleet::ListTransfer& transfer = gateway.list_progress.transfer;
  const fleet::AbsentRecords absent = fleet::FindAbsentRecords(
      gateway.view, transfer.upstreams, transfer.members, as_of, now);
  // The store reader may have started after a restore and not know what the
  // copy lacks. The list is requested again until that has had time to write
  // itself again.
  const bool is_conclusive = now >= gateway.store.relist_due_at;
  const auto is_undecided = [&gateway, is_conclusive](const auto& known) {
    return !is_conclusive &&
           fleet::IsFromEarlierEra(gateway.view, known.change_revision);
  };
  bool is_complete = true;
  for (const fleet::UpstreamRecord& record : absent.upstreams) {
    if (is_undecided(gateway.view.upstreams.at(record.entry.id)))
      is_complete = false;
    else
      ApplyUpstreamRecord(gateway, record, "absent from the list");
  }
  for (const fleet::MemberRecord& record : absent.members) {
    if (record.member.id == gateway.view.self)
      continue;
    if (is_undecided(gateway.view.members.at(record.member.id)))
      is_complete = false;
    else if (fleet::MergeMember(gateway.view, record))
      LogMember(gateway, record, "absent from the list");
  }
  if (!is_complete)
    return;
  gateway.view.removals_known_since = as_of;
  gateway.view.as_of = as_of;
}

// Applies a batch whose parts have all arrived, and requests the next batch if
// there are more.
void ApplyReceivedBatch(Gateway& gateway,
                        const base::DaemonId& from,
                        const fleet::ListBatch& batch,
                        bool is_full,
                        base::TimePoint now) {
  ListProgress& list_progress = gateway.list_progress;
  if (is_full) {
    const fleet::BatchResult batch_result =
        fleet::ApplyBatch(list_progress.transfer, batch);
    if (batch_result == fleet::BatchResult::kIgnored)
      return;
    if (batch_result == fleet::BatchResult::kCompleted) {
      CompleteList(gateway, batch.as_of, now);
      list_progress.transfer = {};
    }
  } else {
    if (batch.as_of <= gateway.view.as_of || batch.since > gateway.view.as_of)
      return;
    gateway.view.as_of = batch.as_of;
  }
  list_progress.has_more = batch.more;
  if (!batch.more) {
    gateway.dispatcher.ready = true;
    return;
  }
  if (list_progress.reader != from &&
      now - list_progress.last_progress_at < kBatchTimeout)
    return;
  list_progress.reader = from;
  list_progress.last_progress_at = now;
  SendHello(gateway, from);
}

// Adds one part of a view update to those that have arrived from the same store
// reader, and applies the batch when it is complete.
void AssembleViewUpdate(Gateway& gateway,
                        const base::DaemonId& from,
                        const datagram::ViewUpdate& update,
                        base::TimePoint now) {
  ViewUpdateAssembly& assembly = gateway.update_assemblies[from];
  if (assembly.batch.since != update.since ||
      assembly.batch.as_of != update.as_of ||
      assembly.part_count != update.part_count)
    assembly =
        ViewUpdateAssembly{{},
                           update.part_count,
                           {update.since, update.as_of, update.more, {}, {}}};
  if (!assembly.received_parts.insert(update.part_index).second)
    return;
  fleet::ListBatch& batch = assembly.batch;
  batch.members.insert(batch.members.end(), update.members.begin(),
                       update.members.end());
  batch.upstreams.insert(batch.upstreams.end(), update.upstreams.begin(),
                         update.upstreams.end());
  if (assembly.received_parts.size() < update.part_count)
    return;
  const fleet::ListBatch complete_batch = std::move(batch);
  gateway.update_assemblies.erase(from);
  // A daemon that reads the store itself knows at least as much as others,
  // unless its reads are out of date.
  if (gateway.store.is_reading && !IsStoreStale(gateway, now))
    return;
  ApplyReceivedBatch(gateway, from, complete_batch, update.is_full_list, now);
}

// Sends records and the version of the configuration to all members. The update
// carries no revision, so it does not complete the receivers' view.
void SendToMembers(Gateway& gateway,
                   const std::vector<fleet::MemberRecord>& members,
                   const std::vector<fleet::UpstreamRecord>& upstreams,
                   base::TimePoint now) {
  const datagram::ViewUpdate header = MakeEmptyUpdate(gateway, now);
  const fleet::ListBatch records{{}, {}, false, members, upstreams};
  for (const auto& [id, record] : gateway.view.members) {
    if (!record.removed && id != gateway.view.self)
      SendViewUpdate(gateway, id, header, records);
  }
}

// Sends changed records to all members if this daemon is the first store
// reader.
void AnnounceRecords(Gateway& gateway,
                     const std::vector<fleet::MemberRecord>& members,
                     const std::vector<fleet::UpstreamRecord>& upstreams) {
  const base::TimePoint now = clock::Now();
  if (fleet::SelectStoreReaders(gateway.view, now).front() == gateway.view.self)
    SendToMembers(gateway, members, upstreams, now);
}

}  // namespace

void ReplyToHello(Gateway& gateway,
                  const base::DaemonId& to,
                  const datagram::Hello& hello,
                  bool unknown_member) {
  const base::TimePoint now = clock::Now();
  datagram::ViewUpdate update = MakeEmptyUpdate(gateway, now);
  update.unknown_member = unknown_member;
  update.has_unavailable = CanReportUnavailable(gateway, now);
  if (update.has_unavailable)
    update.unavailable = FindUnavailableMembers(gateway, now);
  if (hello.wants_withheld)
    SendRecords(gateway, to, fleet::WithheldRecords(gateway.view), now);
  // Until this daemon has listed a restored store, its view completes no other.
  if (hello.without_records ||
      fleet::IsFromEarlierEra(gateway.view, gateway.view.as_of)) {
    SendViewUpdate(gateway, to, update, {});
    return;
  }
  update.is_full_list = hello.as_of < gateway.view.removals_known_since;
  const fleet::ListBatch batch = fleet::NextBatch(
      gateway.view,
      update.is_full_list ? hello.list_received_up_to : hello.as_of);
  update.since = batch.since;
  update.as_of =
      batch.more ? batch.as_of : LimitToDeferredRemovals(gateway, batch.as_of);
  update.more = batch.more;
  SendViewUpdate(gateway, to, update, batch);
}

void OnViewUpdate(Gateway& gateway,
                  const base::DaemonId& from,
                  const datagram::ViewUpdate& update) {
  const base::TimePoint now = clock::Now();
  gateway.last_update_at[from] = now;
  NoticeEra(gateway, update.era, from.value);
  const bool is_present_era = update.era == gateway.store.era;
  const auto member = gateway.view.members.find(from);
  if (member != gateway.view.members.end())
    member->second.store_stale = update.store_stale;
  MergeViewUpdate(gateway, from, update, now);
  if (update.part_count > 0 && is_present_era)
    AssembleViewUpdate(gateway, from, update, now);
  if (update.has_unavailable)
    gateway.view.unavailable_reports[from] = {
        {update.unavailable.begin(), update.unavailable.end()}, now};
  if (update.unknown_member)
    RestartRegistration(gateway);
  OnConfigurationAnnounced(gateway, from, update.configuration_version);
  const bool has_configuration =
      HasConfiguration(gateway, update.configuration_version);
  const bool is_complete = update.part_count > 0 && !update.more &&
                           is_present_era && gateway.view.as_of >= update.as_of;
  if (update.read_age && is_complete && has_configuration)
    fleet::ConfirmView(gateway.freshness, now - *update.read_age);
  if (is_present_era && has_configuration &&
      update.configuration_version.value > 0)
    EndAwaitingPeers(gateway);
}

bool IsReceivingList(const Gateway& gateway) {
  return gateway.list_progress.has_more;
}

bool RequestsRecordsFrom(const Gateway& gateway,
                         const base::DaemonId& reader,
                         base::TimePoint now) {
  return !IsReceivingList(gateway) || gateway.list_progress.reader == reader ||
         now - gateway.list_progress.last_progress_at >= kBatchTimeout;
}

void AnnounceUpstreams(Gateway& gateway,
                       const std::vector<fleet::UpstreamRecord>& records) {
  if (!records.empty())
    AnnounceRecords(gateway, {}, records);
}

void AnnounceMembers(Gateway& gateway,
                     const std::vector<fleet::MemberRecord>& records) {
  if (!records.empty())
    AnnounceRecords(gateway, records, {});
}

void AnnounceConfiguration(Gateway& gateway) {
  const base::TimePoint now = clock::Now();
  if (IsReader(gateway, now))
    SendToMembers(gateway, {}, {}, now);
}

}  // namespace poplarfork::gateway
