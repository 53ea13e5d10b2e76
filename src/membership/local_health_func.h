#pragma once

#include "base/time_type.h"
#include "membership/actions_type.h"
#include "membership/membership_type.h"

namespace poplarfork::membership {

// Records the time of a tick. If the tick is late, the health penalty is
// raised, open probes are discarded without suspecting their targets, and the
// deadlines of suspicions are extended by the delay, because acks and
// refutations may still be waiting in this daemon's own queue.
void RecordTick(Membership& membership, base::TimePoint now, Actions& actions);

// Records an ack to one of this daemon's probes and lowers the health penalty.
void RecordAck(Membership& membership, base::TimePoint now, Actions& actions);

// Records a probe that failed directly and through other members. It raises the
// health penalty if other probes have not been acknowledged either.
void RecordFailedProbe(Membership& membership,
                       base::TimePoint now,
                       Actions& actions);

// Returns true if this daemon is healthy enough to declare others suspect or
// dead by its own observation: no tick was late recently, and a member has
// acknowledged one of its probes recently. The second condition is waived with
// fewer than `kMinMembersForIsolation` other members.
bool MaySuspectMembers(const Membership& membership, base::TimePoint now);

// Returns `timeout` multiplied by one more than the health penalty. A daemon
// that is unhealthy itself gives others more time to reply.
base::Duration ScaleTimeout(const Membership& membership,
                            base::Duration timeout);

}  // namespace poplarfork::membership
