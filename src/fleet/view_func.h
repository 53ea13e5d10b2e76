#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/view_type.h"

namespace poplarfork::fleet {

// Silence after which a member counts as not reachable: three missed hellos
// of kHelloInterval.
inline constexpr base::Duration kHelloInterval = std::chrono::milliseconds(600);
inline constexpr base::Duration kSilenceLimit = std::chrono::milliseconds(2000);

// How long a member that gave no answer is passed over before it is tried
// again; a short freeze is over by then.
inline constexpr base::Duration kSuspicionTime = std::chrono::seconds(1);

// How long a removal is kept so that daemons that were cut off learn of it.
inline constexpr base::Duration kRemovalMemory = std::chrono::seconds(120);

// Returns a usable capacity for any number: unknown and absurd ones count as
// that of a small or a very large VM.
double LimitCapacity(double capacity);

// Tells whether two entries are the same but for what every heartbeat changes.
bool IsSameEntry(const UpstreamEntry& a, const UpstreamEntry& b);

// Takes over an upstream's record if it is newer than the known one. Returns
// whether anything but the revision changed.
bool MergeUpstream(View& view, UpstreamRecord record);

// Takes over a member's record if it is newer than the known one.
bool MergeMember(View& view, MemberRecord record);

// Removals that a whole list implies.
struct AbsentRecords {
  std::vector<UpstreamRecord> upstreams;
  std::vector<MemberRecord> members;
};

// Returns removals of all that a whole list as of `as_of` does not name.
AbsentRecords FindAbsent(const View& view,
                         const std::set<base::UpstreamId>& named_upstreams,
                         const std::set<base::DaemonId>& named_members,
                         StoreRevision as_of,
                         base::TimePoint now);

// Drops records of removals that every daemon has had time to learn.
void ForgetRemovals(View& view, base::TimePoint now);

// Tells whether `member` may be asked: registered, not reported unavailable by
// the readers that reported recently, and not suspected. The daemon itself
// always may.
bool IsEligible(const View& view,
                const base::DaemonId& member,
                base::TimePoint now);

// Returns the eligible members in the order of their rendezvous rank for `key`,
// at most `count`. Members of greater capacity come first more often. It is
// never empty: the daemon itself is a member.
std::vector<base::DaemonId> RankMembers(const View& view,
                                        std::string_view key,
                                        std::size_t count,
                                        base::TimePoint now);

// Returns the members that read the store for the others: the two first by
// rank whose reads are up to date, or the two first if no one's are.
std::vector<base::DaemonId> StoreReaders(const View& view, base::TimePoint now);

// Notes that a member gave no answer.
void SuspectMember(View& view,
                   const base::DaemonId& member,
                   base::TimePoint now);

// Notes that a member was heard.
void HearMember(View& view, const base::DaemonId& member, base::TimePoint now);

// Returns the addresses for callers from `data_centre`, at most `limit`: the
// daemons of that data centre if there are enough of them, otherwise all.
std::vector<std::string> CallerAddresses(const View& view,
                                         const base::DataCentreId& data_centre,
                                         std::size_t limit,
                                         base::TimePoint now);

}  // namespace poplarfork::fleet
