#pragma once

#include <cstdint>
#include <string>

#include "base/ids_type.h"
#include "base/time_type.h"

namespace poplarfork::membership {

// State of a member. Of two statements with the same incarnation and version,
// the one whose state comes later in this order takes precedence.
enum class MemberState : std::uint8_t { kAlive, kSuspect, kLeaving, kDead };

// What this daemon knows about another member. The member's id is the key in
// `Membership::members`.
struct Member {
  // "IP:port" at which the member serves callers.
  std::string edge_address;
  base::DataCentreId data_centre;
  base::Incarnation incarnation;
  // The revision that the member itself reported last.
  base::Revision revision;
  // Rendezvous weight of the pair of this daemon and the member.
  std::uint64_t pair_weight = 0;
  // Time of the last message that came from the member itself.
  base::TimePoint last_heard_at;
  // The time at which the suspicion of a suspected member expires, or the time
  // at which a dead member was marked dead.
  base::TimePoint deadline;
  // Version of the member's own statement that this state is based on.
  std::uint32_t version = 0;
  MemberState state = MemberState::kAlive;
  // Load in percent.
  std::uint8_t load = 0;
  // Number of probes in a row whose direct ack did not arrive.
  std::uint8_t missed_direct_acks = 0;
  bool has_been_heard = false;
  bool is_suspected = false;
  // This daemon was not healthy enough when the suspicion expired. The member
  // must fail another probe before it is declared dead.
  bool needs_failed_probe = false;
  // The VM list marks the member's VM as leaving, or does not contain it.
  bool is_vm_leaving = false;
  bool is_vm_missing = false;
};

}  // namespace poplarfork::membership
