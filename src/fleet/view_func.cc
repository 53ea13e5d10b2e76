#include "fleet/view_func.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/hash_func.h"
#include "fleet/store_restore_func.h"

namespace poplarfork::fleet {

namespace {

// Two daemons read the store, so that changes still arrive without delay when
// one of them fails.
constexpr std::size_t kStoreReaderCount = 2;

// If the caller's data centre has fewer daemons than this, callers are
// distributed over all data centres, so that the loss of one daemon affects
// only few of them.
constexpr std::size_t kMinLocalDaemons = 4;

// A report of unavailable members that is older than this is ignored.
constexpr base::Duration kMaxReportAge = std::chrono::milliseconds(2500);

// A daemon that has heard no other member for this long counts itself as cut
// off. Store readers send a view update for each Hello.
constexpr base::Duration kContactTimeout = std::chrono::seconds(3);

// Tells whether there are recent reports of unavailable members and all of them
// name the member. One of several reports is not enough, because its reader
// alone may be cut off from the member.
bool IsReportedUnavailable(const View& view,
                           const base::DaemonId& member,
                           base::TimePoint now) {
  bool reported = false;
  for (const auto& [reader, report] : view.unavailable_reports) {
    if (now - report.received_at > kMaxReportAge)
      continue;
    if (!report.members.contains(member))
      return false;
    reported = true;
  }
  return reported;
}

// The work of a dispatcher or of a reader of the store cannot be divided. If
// members were ranked in proportion to their capacity, a VM with a tenth of a
// core would be overloaded before a larger one is half loaded. This exponent of
// the capacity keeps the work on the larger VMs as long as there are some.
constexpr double kCapacityExponent = 3;

// Bounds of a reported capacity, so that no daemon ranks first always or never.
constexpr double kMinCapacityCores = 0.01;
constexpr double kMaxCapacityCores = 64;

struct RankedMember {
  double rank;
  const base::DaemonId* id;
};

double MemberRank(std::string_view key,
                  const base::DaemonId& id,
                  double capacity) {
  return base::WeightedRendezvousRank(key, id.value,
                                      std::pow(capacity, kCapacityExponent));
}

// Replaces the known record by a later one. Returns whether anything other than
// the revision changes.
bool ReplaceRecord(const View& view,
                   UpstreamRecord& known,
                   UpstreamRecord record) {
  const bool is_same =
      known.removed == record.removed && IsSameEntry(known.entry, record.entry);
  record.earlier_revision =
      IsFromEarlierEra(view, known.change_revision) &&
              !IsFromEarlierEra(view, record.change_revision)
          ? known.change_revision
          : known.earlier_revision;
  const UpstreamEntry last = record.entry;
  // A removal may come without the entry, apart from what identifies the last
  // write.
  if (record.removed) {
    record.entry = known.entry;
    if (last.incarnation.value != 0)
      record.entry.incarnation = last.incarnation;
    record.entry.sequence = last.sequence;
  }
  // Another daemon that does not read the store knows of no heartbeats.
  const bool is_sequence_known = !record.removed || last.sequence > 0;
  if (is_sequence_known && record.entry.incarnation == known.entry.incarnation)
    record.entry.sequence =
        std::max(record.entry.sequence, known.entry.sequence);
  known = std::move(record);
  return !is_same;
}

}  // namespace

double ClampCapacity(double capacity) {
  return capacity > 0
             ? std::clamp(capacity, kMinCapacityCores, kMaxCapacityCores)
             : kDefaultCapacityCores;
}

bool IsSameEntry(const UpstreamEntry& a, const UpstreamEntry& b) {
  return a.service == b.service && a.address == b.address &&
         a.slots == b.slots && a.phase == b.phase &&
         a.incarnation == b.incarnation;
}

bool MergeUpstream(View& view, UpstreamRecord record) {
  const auto [place, added] =
      view.upstreams.try_emplace(record.entry.id, record);
  UpstreamRecord& known = place->second;
  if (added)
    return true;
  switch (JudgeRecord(view, known, record)) {
    case RecordVerdict::kApplied:
      return ReplaceRecord(view, known, std::move(record));
    case RecordVerdict::kKept:
      KeepKnown(view, known, record);
      return false;
    case RecordVerdict::kWithheld:
      Withhold(known, record);
      return true;
    case RecordVerdict::kIgnored:
      break;
  }
  if (record.removed && known.removed &&
      record.change_revision == known.change_revision)
    MergeLastEntry(known, record);
  return false;
}

bool MergeMember(View& view, MemberRecord record) {
  const base::DaemonId id = record.member.id;
  const auto [place, added] = view.members.try_emplace(id, record);
  MemberRecord& known = place->second;
  if (added)
    return true;
  if (record.change_revision <= known.change_revision)
    return false;
  known.change_revision = record.change_revision;
  known.learned_at = record.learned_at;
  const bool changed = known.removed != record.removed;
  known.removed = record.removed;
  if (!record.removed)
    known.member = record.member;
  return changed;
}

AbsentRecords FindAbsentRecords(
    const View& view,
    const std::set<base::UpstreamId>& listed_upstreams,
    const std::set<base::DaemonId>& listed_members,
    StoreRevision as_of,
    base::TimePoint now) {
  AbsentRecords absent;
  for (const auto& [id, record] : view.upstreams) {
    const bool is_gone = record.removed && !record.restored;
    if (is_gone || record.change_revision > as_of ||
        listed_upstreams.contains(id))
      continue;
    UpstreamRecord removal = record;
    removal.removed = true;
    removal.restored = false;
    // The last entry has not been read, so its sequence is not known.
    removal.entry.sequence = 0;
    removal.change_revision = as_of;
    removal.learned_at = now;
    absent.upstreams.push_back(std::move(removal));
  }
  for (const auto& [id, record] : view.members) {
    if (record.removed || record.change_revision > as_of ||
        listed_members.contains(id))
      continue;
    MemberRecord removal = record;
    removal.removed = true;
    removal.change_revision = as_of;
    removal.learned_at = now;
    absent.members.push_back(std::move(removal));
  }
  return absent;
}

void ExpireRemovals(View& view, base::TimePoint now) {
  const auto is_expired = [now](const auto& item) {
    return item.second.removed &&
           now - item.second.learned_at > kRemovalLifetime;
  };
  // A withheld upstream is remembered as long as the store holds its entry.
  std::erase_if(view.upstreams, [&is_expired](const auto& item) {
    return is_expired(item) && !IsWithheld(item.second);
  });
  std::erase_if(view.members, is_expired);
  std::erase_if(view.unavailable_reports, [now](const auto& item) {
    return now - item.second.received_at > kMaxReportAge;
  });
}

bool IsEligible(const View& view,
                const base::DaemonId& member,
                base::TimePoint now) {
  if (member == view.self)
    return true;
  const auto found = view.members.find(member);
  if (found == view.members.end())
    return false;
  const MemberRecord& record = found->second;
  return !record.removed && record.suspected_until <= now &&
         !IsReportedUnavailable(view, member, now);
}

std::vector<base::DaemonId> RankMembers(const View& view,
                                        std::string_view key,
                                        std::size_t count,
                                        base::TimePoint now) {
  std::vector<RankedMember> ranked;
  ranked.reserve(view.members.size() + 1);
  double own_capacity = kDefaultCapacityCores;
  for (const auto& [id, record] : view.members) {
    if (id == view.self)
      own_capacity = record.member.capacity;
    else if (IsEligible(view, id, now))
      ranked.push_back({MemberRank(key, id, record.member.capacity), &id});
  }
  ranked.push_back({MemberRank(key, view.self, own_capacity), &view.self});
  const std::size_t taken = std::min(count, ranked.size());
  std::partial_sort(
      ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(taken),
      ranked.end(), [](const RankedMember& a, const RankedMember& b) {
        return a.rank > b.rank;
      });
  std::vector<base::DaemonId> members;
  for (std::size_t i = 0; i < taken; ++i)
    members.push_back(*ranked[i].id);
  return members;
}

std::vector<base::DaemonId> SelectStoreReaders(const View& view,
                                               base::TimePoint now) {
  const std::vector<base::DaemonId> ranked =
      RankMembers(view, "store-readers", view.members.size() + 1, now);
  std::vector<base::DaemonId> readers;
  std::vector<base::DaemonId> stale;
  for (const base::DaemonId& id : ranked) {
    const auto found = view.members.find(id);
    const bool is_stale =
        found != view.members.end() && found->second.store_stale;
    (is_stale ? stale : readers).push_back(id);
  }
  readers.insert(readers.end(), stale.begin(), stale.end());
  if (readers.size() > kStoreReaderCount)
    readers.resize(kStoreReaderCount);
  return readers;
}

void MarkMemberSuspected(View& view,
                         const base::DaemonId& member,
                         base::TimePoint now) {
  const auto found = view.members.find(member);
  if (found != view.members.end())
    found->second.suspected_until = now + kSuspicionTime;
}

void MarkMemberHeard(View& view,
                     const base::DaemonId& member,
                     base::TimePoint now) {
  const auto found = view.members.find(member);
  if (found == view.members.end())
    return;
  found->second.last_heard_at = now;
  found->second.suspected_until = {};
}

std::vector<std::string> CallerAddresses(const View& view,
                                         const base::DataCentreId& data_centre,
                                         std::size_t limit,
                                         base::TimePoint now) {
  std::vector<std::string> local;
  std::vector<std::string> all;
  for (const auto& [id, record] : view.members) {
    const bool usable =
        !record.removed && record.accepting &&
        (id == view.self || !IsReportedUnavailable(view, id, now));
    if (!usable)
      continue;
    all.push_back(record.member.front_address);
    if (record.member.data_centre == data_centre)
      local.push_back(record.member.front_address);
  }
  std::vector<std::string>& chosen =
      local.size() >= kMinLocalDaemons ? local : all;
  if (chosen.size() > limit)
    chosen.resize(limit);
  return std::move(chosen);
}

std::size_t CountMembers(const View& view) {
  const auto count =
      std::count_if(view.members.begin(), view.members.end(),
                    [](const auto& item) { return !item.second.removed; });
  return static_cast<std::size_t>(std::max<std::ptrdiff_t>(count, 1));
}

double ContactShare(const View& view, base::TimePoint now) {
  std::size_t available = 1;
  bool is_in_contact = false;
  for (const auto& [id, record] : view.members) {
    if (record.removed || id == view.self)
      continue;
    is_in_contact |= now - record.last_heard_at < kContactTimeout;
    available += IsReportedUnavailable(view, id, now) ? 0 : 1;
  }
  const std::size_t members = std::max(CountMembers(view), available);
  return static_cast<double>(is_in_contact ? available : 1) /
         static_cast<double>(members);
}

bool IsFirstInContact(const View& view,
                      std::string_view key,
                      base::TimePoint now) {
  const auto self = view.members.find(view.self);
  const double own_rank =
      MemberRank(key, view.self,
                 self != view.members.end() ? self->second.member.capacity
                                            : kDefaultCapacityCores);
  return std::none_of(
      view.members.begin(), view.members.end(), [&](const auto& item) {
        return item.first != view.self && !item.second.removed &&
               MemberRank(key, item.first, item.second.member.capacity) >
                   own_rank &&
               !IsReportedUnavailable(view, item.first, now);
      });
}

}  // namespace poplarfork::fleet
