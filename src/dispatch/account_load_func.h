#pragma once

#include "dispatch/dispatcher_type.h"

namespace poplarfork::dispatch {

// These functions share the slots of a shard among client accounts. The load
// pattern that they handle is one account that sends several times its usual
// load: its requests would fill the queue, and those of all others would wait
// behind them or be refused. Accounts with equally usual loads are served in
// the order of the queue.

// Counts a grant for the request's account, if it has one.
void CountAccountGrant(ShardState& shard_state,
                       const SlotRequest& slot_request,
                       base::TimePoint now);

// Returns the recent grants of an account relative to what it is usually
// granted. It is 1 for an account that is served as usual.
double ServedShare(const ShardState& shard_state,
                   const base::AccountId& account,
                   base::TimePoint now);

// Tells whether the two requests of different accounts have the same class of
// work and priority, so that the order between them may depend on the accounts.
bool IsSameRank(const SlotRequest& a, const SlotRequest& b);

// Tells whether an account with the first served share gives way to one with
// the second: it is served more than usual and far more than the other.
bool GivesWay(double served_share, double other_served_share);

// Returns the number of queued requests that are served before a new one.
// Without an account these are all. Otherwise, each other account of the same
// rank counts with the requests that it may be granted, in relation to what it
// is usually granted, until it is the new one's turn, but at most until it
// gives way.
std::size_t CountAhead(const ShardState& shard_state,
                       const SlotRequest& slot_request,
                       base::TimePoint now);

}  // namespace poplarfork::dispatch
