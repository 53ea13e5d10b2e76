#pragma once

#include <vector>

#include "base/ids_type.h"
#include "base/rng_type.h"
#include "membership/membership_type.h"

namespace poplarfork::membership {

// Returns the rendezvous weight of a pair of daemons. It is the same for both
// orders, so that most neighbour relations are mutual and share a connection.
std::uint64_t PairWeight(const base::DaemonId& left,
                         const base::DaemonId& right);

// Chooses the neighbours again if the member list has changed: the members with
// the highest pair weights in this data centre and in the others.
void RefreshNeighbours(Membership& membership);

// Returns the next member to probe, or an empty id if there is none. Members
// that are queued for a priority probe alternate with the neighbours, which are
// probed in shuffled rounds.
base::DaemonId TakeNextProbeTarget(Membership& membership, base::Rng& rng);

// Queues the member to be probed before the others of the round.
void QueuePriorityProbe(Membership& membership, const base::DaemonId& daemon);

// Chooses up to `kMaxIndirectProbers` neighbours that can probe `target` for
// this daemon. They are from different data centres where possible, because a
// partition between two data centres can be recognised only from a third one.
std::vector<base::DaemonId> ChooseIndirectProbers(const Membership& membership,
                                                  const base::DaemonId& target,
                                                  base::Rng& rng);

}  // namespace poplarfork::membership
