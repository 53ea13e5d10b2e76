#pragma once

#include <string>

#include "base/ids_type.h"

namespace poplarfork::membership {

enum class ChangeKind {
  // The member is new in the list.
  kJoined,
  // A higher incarnation of the member was seen.
  kRestarted,
  // This daemon started to suspect the member.
  kSuspected,
  // A suspected or dead member stated with a higher version that it is alive.
  kRefuted,
  // The member stated that it is leaving, or the VM list marks its VM as
  // leaving. The change is also reported with this daemon's own id when the VM
  // list marks its own VM; the daemon then starts its shutdown.
  kLeaving,
  // The member itself stated that it has left.
  kLeft,
  // The member was declared dead by this daemon or by another one.
  kDied,
  // The member was removed from the list, because it had been dead for
  // `kDeadMemberRetention`.
  kForgotten,
  // The member is alive, but its acks to direct probes do not arrive.
  kLinkBroken,
  // An ack to a direct probe arrived after kLinkBroken.
  kLinkRestored,
  // This daemon has read a whole member list for the first time.
  kListComplete,
  // This daemon's health penalty reached its maximum.
  kSelfDegraded,
  // The health penalty fell back to 0.
  kSelfRecovered,
  // Other members know a later incarnation at this daemon's address and
  // therefore ignore this run. The change is reported once, with the later
  // incarnation; the daemon must start again with a higher one.
  kIncarnationOutdated,
};

// One change of the member list or of this daemon's own health. Each change is
// written to the log as one line.
struct Change {
  ChangeKind kind = ChangeKind::kJoined;
  base::DaemonId daemon;
  base::Incarnation incarnation;
  // The daemon whose message caused the change; empty if this daemon observed
  // it itself.
  base::DaemonId reporter;
  std::string reason;
};

}  // namespace poplarfork::membership
