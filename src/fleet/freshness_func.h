#pragma once

#include "fleet/freshness_type.h"

namespace poplarfork::fleet {

// These functions decide when a daemon reads the store itself. Normally a few
// store readers read it for all. The fault that this handles is store readers
// that are cut off, paused or replaced: the daemons that depend on them must
// not wait until the readers have been detected as failed, because a
// configuration or a leaving upstream must be in force within a bound that is
// hardly longer.

// Records that everything the store had acknowledged at `at` is known.
void ConfirmView(Freshness& freshness, base::TimePoint at);

// Returns the time at which the daemon should read the store itself unless its
// view is confirmed before.
base::TimePoint DirectReadDueAt(const Freshness& freshness);

// Tells whether the daemon should read the store itself now.
bool IsDirectReadDue(const Freshness& freshness, base::TimePoint now);

// Postpones the next direct read after one that failed. The interval grows, so
// that all daemons together do not load a store that is down.
void DelayDirectReads(Freshness& freshness, base::TimePoint now);

// Returns whether entries of upstreams may expire in an outage of the store of
// this length. `heartbeat` is the interval at which upstreams write their
// entries.
bool MayExpireEntries(base::Duration outage, base::Duration heartbeat);

}  // namespace poplarfork::fleet
