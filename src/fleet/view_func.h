#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/view_type.h"

namespace poplarfork::fleet {

// Interval at which a member sends a hello, and time without a message after
// which a member counts as unreachable. The latter is three missed hellos.
inline constexpr base::Duration kHelloInterval = std::chrono::milliseconds(600);
inline constexpr base::Duration kMemberSilenceTimeout =
    std::chrono::milliseconds(2000);

// Time for which a member that did not reply is skipped before it is tried
// again. A short freeze is over by then.
inline constexpr base::Duration kSuspicionTime = std::chrono::seconds(1);

// Time for which a removal is remembered, so that daemons that were cut off can
// still learn of it.
inline constexpr base::Duration kRemovalLifetime = std::chrono::seconds(120);

// Returns a valid capacity for any number. Unknown and out-of-range values are
// replaced by the capacity of a small or a very large VM.
double ClampCapacity(double capacity);

// Tells whether two entries are equal apart from the fields that every
// heartbeat changes.
bool IsSameEntry(const UpstreamEntry& a, const UpstreamEntry& b);

// Stores an upstream's record if it is newer than the known one. Returns
// whether anything other than the revision changed.
bool MergeUpstream(View& view, UpstreamRecord record);

// Stores a member's record if it is newer than the known one. Returns whether
// the member was added, removed or added again.
bool MergeMember(View& view, MemberRecord record);

// Removals that follow from a complete list.
struct AbsentRecords {
  std::vector<UpstreamRecord> upstreams;
  std::vector<MemberRecord> members;
};

// Returns a removal for each record that changed up to `as_of` and is not in
// the complete list as of that revision.
AbsentRecords FindAbsentRecords(
    const View& view,
    const std::set<base::UpstreamId>& listed_upstreams,
    const std::set<base::DaemonId>& listed_members,
    StoreRevision as_of,
    base::TimePoint now);

// Drops the removals that every daemon has had time to learn of.
void ExpireRemovals(View& view, base::TimePoint now);

// Tells whether work may be sent to `member`: it is registered, has not been
// reported unavailable by all readers that reported recently, and is not
// suspected. This daemon itself is always eligible.
bool IsEligible(const View& view,
                const base::DaemonId& member,
                base::TimePoint now);

// Returns at most `count` eligible members in the order of their rendezvous
// rank for `key`. Members with a greater capacity are ranked first more often.
// The result is never empty because this daemon itself is a member.
std::vector<base::DaemonId> RankMembers(const View& view,
                                        std::string_view key,
                                        std::size_t count,
                                        base::TimePoint now);

// Returns the members that read the store for all others. These are the two
// with the highest rank whose reads are up to date, followed by other members
// if fewer than two are up to date.
std::vector<base::DaemonId> SelectStoreReaders(const View& view,
                                               base::TimePoint now);

// Records that a member did not reply, so that it is skipped for
// kSuspicionTime.
void MarkMemberSuspected(View& view,
                         const base::DaemonId& member,
                         base::TimePoint now);

// Records that a message from a member has arrived, which ends a suspicion.
void MarkMemberHeard(View& view,
                     const base::DaemonId& member,
                     base::TimePoint now);

// Returns at most `limit` addresses for callers from `data_centre`: those of
// the daemons in that data centre if there are enough of them, otherwise those
// of all daemons.
std::vector<std::string> CallerAddresses(const View& view,
                                         const base::DataCentreId& data_centre,
                                         std::size_t limit,
                                         base::TimePoint now);

// Returns the number of members in the member list, at least 1.
std::size_t CountMembers(const View& view);

// Returns the share (0 to 1) of the members that are in contact with this
// daemon: those that the store readers do not report as unavailable. If no
// other member has been heard for 3 s, this daemon counts only itself. The
// fault that this handles is a fleet that is split: the shares of its parts add
// up to one at most.
double ContactShare(const View& view, base::TimePoint now);

// Tells whether this daemon has the highest rank for `key` among the members
// that are not reported as unavailable. Members that only this daemon suspects
// count as well.
bool IsFirstInContact(const View& view,
                      std::string_view key,
                      base::TimePoint now);

}  // namespace poplarfork::fleet
