#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "base/time_type.h"

namespace poplarfork::membership {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Interval at which the daemon must call `Tick`.
inline constexpr base::Duration kTickInterval = milliseconds(100);

// One neighbour is probed per interval of this length.
inline constexpr base::Duration kProbeInterval = milliseconds(500);

// Time to wait for the ack to a direct probe before other members are asked to
// probe the target.
inline constexpr base::Duration kProbeTimeout = milliseconds(300);

// Further time to wait for an ack through other members.
inline constexpr base::Duration kIndirectTimeout = milliseconds(500);

// Time in which a suspected member must refute the suspicion.
inline constexpr base::Duration kSuspicionTimeout = seconds(2);

// Time in which a suspected member must refute the suspicion if the VM list no
// longer contains its VM.
inline constexpr base::Duration kMissingVmSuspicionTimeout = seconds(1);

// A member from which a message arrived directly within this time is not
// suspected when its acks are missing, because then only the other direction of
// the link is broken.
inline constexpr base::Duration kRecentlyHeardWindow = seconds(2);

// A tick that is late by more than this shows that the daemon itself is slow.
inline constexpr base::Duration kLateTickThreshold = milliseconds(200);

// For this long after a late tick, a daemon declares no member suspect or dead
// by its own observation.
inline constexpr base::Duration kSuspicionHoldoff = seconds(2);

// A daemon that has received no ack from any member for this long may be
// isolated and declares no member suspect or dead by its own observation.
inline constexpr base::Duration kIsolationThreshold = seconds(2);

// A failed probe raises the health penalty of this daemon if it has received no
// ack from any member for this long. A healthy daemon with one dead neighbour
// receives an ack every second.
inline constexpr base::Duration kSilenceThreshold = milliseconds(1500);

// With fewer other members than this, a daemon cannot distinguish its own
// isolation from the death of the others, and declares members suspect or dead
// regardless.
inline constexpr std::size_t kMinMembersForIsolation = 3;

// Largest health penalty. Timeouts are multiplied by one more than the penalty,
// so by at most one more than this.
inline constexpr int kMaxHealthPenalty = 4;

// Limits on the neighbours, which are the members that a daemon probes: those
// in its own data centre and those in other data centres.
inline constexpr std::size_t kMaxLocalNeighbours = 16;
inline constexpr std::size_t kMaxRemoteNeighbours = 8;

// Members that are asked to probe a target that did not acknowledge a direct
// probe.
inline constexpr std::size_t kMaxIndirectProbers = 3;

inline constexpr std::size_t kMaxUpdatesPerMessage = 8;

// Limit on the open probes that this daemon sends on behalf of other daemons.
// If a data centre is lost, their number would otherwise multiply.
inline constexpr std::size_t kMaxRelayedProbes = 16;

// Number of missing acks in a row from a member that is alive after which the
// link to it counts as broken.
inline constexpr std::uint8_t kBrokenLinkMisses = 2;

// Seeds that a joining daemon asks at the same time, and the time to wait for a
// reply before other seeds are asked.
inline constexpr std::size_t kMaxJoinSeeds = 3;
inline constexpr base::Duration kJoinRetryInterval = seconds(1);

// Number of members in one part of the member list, which has a size of about
// 10 KB.
inline constexpr std::uint32_t kMembersPerListPart = 128;

// Limit on replies to joins per second. A daemon that gets no reply asks
// another member.
inline constexpr std::uint32_t kMaxListRepliesPerSecond = 100;

// Limit on requests per second for the entries of unknown senders.
inline constexpr std::uint32_t kMaxEntryRequestsPerSecond = 20;

// One part of the member list is read from a neighbour per interval, which
// recovers updates that were lost. The interval starts at the minimum, doubles
// after each part without changes, and returns to the minimum after a part with
// changes, because many daemons may have joined at the same time.
inline constexpr base::Duration kMinSyncInterval = seconds(1);
inline constexpr base::Duration kMaxSyncInterval = seconds(10);

// One dead member, or one VM of the VM list that is not in the member list, is
// contacted per interval. This rejoins the two sides after a partition.
inline constexpr base::Duration kReconnectInterval = seconds(5);

// Dead members stay in the list for this long, so that late updates do not add
// them again as alive. They are purged at the second interval.
inline constexpr base::Duration kDeadMemberRetention = minutes(10);
inline constexpr base::Duration kPurgeInterval = seconds(10);

// The load is announced to all members when it reaches the first value, and
// again when it falls below the second, at most once per interval. Announcing
// every change would exceed the traffic budget of 12 KB/s per daemon.
inline constexpr std::uint32_t kHighLoadPercent = 80;
inline constexpr std::uint32_t kLowLoadPercent = 60;
inline constexpr base::Duration kLoadAnnounceInterval = seconds(10);

}  // namespace poplarfork::membership
