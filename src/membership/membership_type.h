#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/ids_type.h"
#include "base/time_type.h"
#include "membership/counters_type.h"
#include "membership/local_member_type.h"
#include "membership/member_type.h"
#include "membership/open_probe_type.h"
#include "membership/update_queue_type.h"

namespace poplarfork::membership {

// This daemon's estimate of its own health, as in the Lifeguard extensions of
// the SWIM protocol.
struct LocalHealth {
  // Health penalty: 0 if the daemon is healthy, and at most
  // `kMaxHealthPenalty`. Timeouts are multiplied by one more than this.
  int penalty = 0;
  base::TimePoint last_tick_at;
  base::TimePoint last_late_tick_at;
  base::TimePoint last_ack_at;
  bool has_had_late_tick = false;
  bool is_degradation_reported = false;
};

// The position up to which another daemon's member list has been read.
struct ListCursor {
  // The daemon whose list is being read; empty if there is none.
  base::DaemonId source;
  // The last member that was read; the next part starts after it.
  base::DaemonId last_daemon;
  base::TimePoint requested_at;
};

// Counter of a rate limit: the events since the start of the current second.
struct RateWindow {
  base::TimePoint start;
  std::uint32_t count = 0;
};

// State of the failure detector and the member list of one daemon.
struct Membership {
  LocalMember local_member;
  std::map<base::DaemonId, Member> members;
  // Incremented with every change of the result of `LiveMembers`, except for
  // changes of loads and revisions. The daemon uses it to cache derived data.
  std::uint64_t member_list_version = 0;
  Counters counters;

  // The members that this daemon probes.
  std::vector<base::DaemonId> neighbours;
  bool are_neighbours_stale = true;
  // Neighbours that remain to be probed in the current round, in shuffled
  // order; the last element is probed next.
  std::vector<base::DaemonId> probe_order;
  // Members that are probed before the next one of the round.
  std::vector<base::DaemonId> priority_probes;
  bool is_priority_probe_next = false;
  std::vector<OpenProbe> open_probes;
  std::uint64_t next_sequence = 1;
  base::TimePoint next_probe_at;

  std::set<base::DaemonId> suspects;
  // Number of dead members in `members`.
  std::size_t dead_count = 0;
  UpdateQueue updates;
  LocalHealth health;

  std::vector<base::DaemonId> seeds;
  bool is_list_complete = false;
  ListCursor list_cursor;
  base::TimePoint next_sync_at;
  base::Duration sync_interval = base::Duration(0);
  base::TimePoint next_reconnect_at;
  base::TimePoint next_purge_at;
  RateWindow list_reply_rate;
  RateWindow entry_request_rate;
};

}  // namespace poplarfork::membership
