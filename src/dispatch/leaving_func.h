#pragma once

#include "dispatch/dispatcher_type.h"
#include "fleet/upstream_entry_type.h"

namespace poplarfork::dispatch {

// Remembers that an upstream has said in a response that it is leaving. It gets
// no new requests from then on, whatever its entry in the store says, until it
// starts again. `incarnation` is the one that responded, or zero if it is not
// known. Returns whether this is new.
bool MarkLeaving(Dispatcher& dispatcher,
                 const base::UpstreamId& id,
                 base::Incarnation incarnation,
                 base::TimePoint now);

// Tells whether the upstream has said that it is leaving.
bool IsLeaving(const Dispatcher& dispatcher, const base::UpstreamId& id);

// Returns the entry of an upstream as the dispatcher uses it: draining if the
// upstream is leaving. The entry of another incarnation clears the mark.
fleet::UpstreamEntry ApplyLeavingMark(Dispatcher& dispatcher,
                                      fleet::UpstreamEntry entry);

// Drops the marks of upstreams whose entries are long gone.
void ExpireLeavingMarks(Dispatcher& dispatcher, base::TimePoint now);

}  // namespace poplarfork::dispatch
