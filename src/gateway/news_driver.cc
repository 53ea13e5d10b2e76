#include "gateway/news_driver.h"

#include <algorithm>
#include <utility>

#include "clock/now_func.h"
#include "fleet/list_batch_func.h"
#include "fleet/view_func.h"
#include "gateway/configuration_driver.h"
#include "gateway/dispatch_driver.h"
#include "gateway/peer_driver.h"
#include "gateway/registration.h"
#include "gateway/store_driver.h"

namespace poplarfork::gateway {

namespace {

// Largest number of records in one datagram, which keeps the datagram within
// one packet of 1500 bytes.
constexpr std::size_t kRecordsPerDatagram = 10;

// If a store reader sends no further batch of a list for this long, the list is
// requested from another store reader. A batch normally takes a few
// milliseconds.
constexpr base::Duration kPartTimeout = std::chrono::milliseconds(500);

// Returns the members that have been silent for too long or do not accept
// requests of callers.
std::vector<base::DaemonId> Unavailable(const Gateway& gateway,
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
bool CanJudge(const Gateway& gateway, base::TimePoint now) {
  return IsReader(gateway, now) &&
         now - gateway.store.serving_since >
             fleet::kMemberSilenceTimeout + fleet::kHelloInterval;
}

// Returns a view update without records.
datagram::ViewUpdate EmptyNews(const Gateway& gateway, base::TimePoint now) {
  datagram::ViewUpdate news;
  if (gateway.configuration)
    news.configuration_version = gateway.configuration->version;
  news.store_stale = IsStoreStale(gateway, now);
  return news;
}

// Sends `batch` in as many datagrams as it needs, each with the fields of
// `update`. The list of unavailable members is sent in the first datagram only.
void SendNews(Gateway& gateway,
              const base::DaemonId& to,
              datagram::ViewUpdate news,
              const fleet::ListBatch& batch) {
  const std::size_t total = batch.members.size() + batch.upstreams.size();
  const std::size_t parts = std::max<std::size_t>(
      (total + kRecordsPerDatagram - 1) / kRecordsPerDatagram, 1);
  if (news.as_of.value > 0)
    news.part_count = static_cast<std::uint32_t>(parts);
  for (std::size_t part = 0; part < parts; ++part) {
    news.part_index = static_cast<std::uint32_t>(part);
    news.members.clear();
    news.upstreams.clear();
    const std::size_t end = std::min((part + 1) * kRecordsPerDatagram, total);
    for (std::size_t i = part * kRecordsPerDatagram; i < end; ++i) {
      if (i < batch.members.size())
        news.members.push_back(batch.members[i]);
      else
        news.upstreams.push_back(batch.upstreams[i - batch.members.size()]);
    }
    SendTo(gateway, to, news);
    news.has_unavailable = false;
    news.unavailable.clear();
  }
}

// Merges the records of one datagram into the view.
void MergeNews(Gateway& gateway, const datagram::ViewUpdate& news) {
  for (const fleet::MemberRecord& record : news.members) {
    if (fleet::MergeMember(gateway.view, record))
      LogMember(gateway, record, "peer");
  }
  for (const fleet::UpstreamRecord& record : news.upstreams)
    TakeUpstreamRecord(gateway, record, "peer");
}

// Returns the revision up to which the sent records are complete. It is
// `as_of`, or the revision before the earliest removal that is deferred after a
// store outage. A daemon that took its view for complete up to a later revision
// would never ask for the deferred removals.
fleet::StoreRevision KnownTo(const Gateway& gateway,
                             fleet::StoreRevision as_of) {
  for (const auto& [id, removal] : gateway.store.held) {
    if (removal.revision.value > 0)
      as_of = std::min(as_of, {removal.revision.value - 1});
  }
  return as_of;
}

// Ends the reception of the whole list: removes the upstreams and members that
// it did not contain, and marks the view as complete up to `as_of`.
void EndList(Gateway& gateway,
             fleet::StoreRevision as_of,
             base::TimePoint now) {
  const fleet::ListTransfer& list = gateway.list.transfer;
  const fleet::AbsentRecords absent = fleet::FindAbsentRecords(
      gateway.view, list.upstreams, list.members, as_of, now);
  for (const fleet::UpstreamRecord& record : absent.upstreams)
    TakeUpstreamRecord(gateway, record, "absent from the list");
  for (const fleet::MemberRecord& record : absent.members) {
    if (record.member.id != gateway.view.self &&
        fleet::MergeMember(gateway.view, record))
      LogMember(gateway, record, "absent from the list");
  }
  gateway.view.removals_known_since = as_of;
  gateway.view.as_of = as_of;
}

// Applies a batch whose parts have all arrived, and requests the next batch if
// there are more.
void TakeBatch(Gateway& gateway,
               const base::DaemonId& from,
               const fleet::ListBatch& batch,
               bool is_full,
               base::TimePoint now) {
  ListProgress& list = gateway.list;
  if (is_full) {
    const fleet::BatchResult use = fleet::ApplyBatch(list.transfer, batch);
    if (use == fleet::BatchResult::kIgnored)
      return;
    if (use == fleet::BatchResult::kCompleted) {
      EndList(gateway, batch.as_of, now);
      list.transfer = {};
    }
  } else {
    if (batch.as_of <= gateway.view.as_of || batch.since > gateway.view.as_of)
      return;
    gateway.view.as_of = batch.as_of;
  }
  list.more = batch.more;
  if (!batch.more) {
    gateway.dispatcher.ready = true;
    return;
  }
  if (list.from != from && now - list.progress_at < kPartTimeout)
    return;
  list.from = from;
  list.progress_at = now;
  SayHello(gateway, from);
}

// Adds one part of a view update to those that have arrived from the same store
// reader, and applies the batch when it is complete.
void AssembleNews(Gateway& gateway,
                  const base::DaemonId& from,
                  const datagram::ViewUpdate& news,
                  base::TimePoint now) {
  NewsAssembly& assembly = gateway.assemblies[from];
  if (assembly.batch.since != news.since ||
      assembly.batch.as_of != news.as_of || assembly.total != news.part_count)
    assembly = NewsAssembly{
        {}, news.part_count, {news.since, news.as_of, news.more, {}, {}}};
  if (!assembly.parts.insert(news.part_index).second)
    return;
  fleet::ListBatch& batch = assembly.batch;
  batch.members.insert(batch.members.end(), news.members.begin(),
                       news.members.end());
  batch.upstreams.insert(batch.upstreams.end(), news.upstreams.begin(),
                         news.upstreams.end());
  if (assembly.parts.size() < news.part_count)
    return;
  const fleet::ListBatch whole = std::move(batch);
  gateway.assemblies.erase(from);
  // A daemon that reads the store itself knows at least as much as others,
  // unless its reads are out of date.
  if (gateway.store.reading && !IsStoreStale(gateway, now))
    return;
  TakeBatch(gateway, from, whole, news.is_full_list, now);
}

// Sends changed records to all members if this daemon is the first store
// reader. The update carries no revision, so it does not complete the
// receivers' view.
void Announce(Gateway& gateway,
              const std::vector<fleet::MemberRecord>& members,
              const std::vector<fleet::UpstreamRecord>& upstreams) {
  const base::TimePoint now = clock::Now();
  const std::vector<base::DaemonId> readers =
      fleet::SelectStoreReaders(gateway.view, now);
  if (readers.front() != gateway.view.self)
    return;
  const datagram::ViewUpdate head = EmptyNews(gateway, now);
  const fleet::ListBatch records{{}, {}, false, members, upstreams};
  for (const auto& [id, record] : gateway.view.members) {
    if (!record.removed && id != gateway.view.self)
      SendNews(gateway, id, head, records);
  }
}

}  // namespace

void AnswerHello(Gateway& gateway,
                 const base::DaemonId& to,
                 const datagram::Hello& hello,
                 bool unknown_member) {
  const base::TimePoint now = clock::Now();
  datagram::ViewUpdate news = EmptyNews(gateway, now);
  news.unknown_member = unknown_member;
  news.has_unavailable = CanJudge(gateway, now);
  if (news.has_unavailable)
    news.unavailable = Unavailable(gateway, now);
  if (hello.without_records) {
    SendNews(gateway, to, news, {});
    return;
  }
  news.is_full_list = hello.as_of < gateway.view.removals_known_since;
  const fleet::ListBatch batch = fleet::NextBatch(
      gateway.view,
      news.is_full_list ? hello.list_received_up_to : hello.as_of);
  news.since = batch.since;
  news.as_of = batch.more ? batch.as_of : KnownTo(gateway, batch.as_of);
  news.more = batch.more;
  SendNews(gateway, to, news, batch);
}

void OnNews(Gateway& gateway,
            const base::DaemonId& from,
            const datagram::ViewUpdate& news) {
  const base::TimePoint now = clock::Now();
  gateway.news_at[from] = now;
  const auto member = gateway.view.members.find(from);
  if (member != gateway.view.members.end())
    member->second.store_stale = news.store_stale;
  MergeNews(gateway, news);
  if (news.part_count > 0)
    AssembleNews(gateway, from, news, now);
  if (news.has_unavailable)
    gateway.view.unavailable_reports[from] = {
        {news.unavailable.begin(), news.unavailable.end()}, now};
  if (news.unknown_member)
    RegisterAgain(gateway);
  const fleet::ConfigurationVersion known = gateway.configuration
                                                ? gateway.configuration->version
                                                : fleet::ConfigurationVersion{};
  if (news.configuration_version > known)
    FetchConfiguration(gateway, from);
}

bool IsCatchingUp(const Gateway& gateway) {
  return gateway.list.more;
}

bool GetsListFrom(const Gateway& gateway,
                  const base::DaemonId& reader,
                  base::TimePoint now) {
  return !IsCatchingUp(gateway) || gateway.list.from == reader ||
         now - gateway.list.progress_at >= kPartTimeout;
}

void AnnounceUpstreams(Gateway& gateway,
                       const std::vector<fleet::UpstreamRecord>& records) {
  if (!records.empty())
    Announce(gateway, {}, records);
}

void AnnounceMembers(Gateway& gateway,
                     const std::vector<fleet::MemberRecord>& records) {
  if (!records.empty())
    Announce(gateway, records, {});
}

void AnnounceConfiguration(Gateway& gateway) {
  Announce(gateway, {}, {});
}

}  // namespace poplarfork::gateway
