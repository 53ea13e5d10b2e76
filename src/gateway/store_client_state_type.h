#pragma once

#include <map>
#include <string>

#include "base/ids_type.h"
#include "base/time_type.h"
#include "fleet/answer_time_type.h"
#include "fleet/ids_type.h"
#include "platform/store_type.h"

namespace poplarfork::gateway {

// State of this daemon as a client of the store: reading, availability of the
// store, and registration of this daemon as a member.
struct StoreClientState {
  // This daemon is reading the store, one read round after another.
  bool is_reading = false;
  base::TimePoint read_round_started_at{};
  // Time for which the store may hold the present round's read open.
  base::Duration read_round_wait{};
  fleet::AnswerTime answer_time;
  // When a call to the store last succeeded; zero if never.
  base::TimePoint last_success{};
  // When connections to the store were last lost. Calls that began earlier may
  // have used them, so their failures say nothing about the store.
  base::TimePoint connections_lost_at{};
  // The last call to the store failed, and this has been logged.
  bool failing = false;
  // When the last time ended in which the store may have been unavailable for
  // long enough that entries expired; zero if there was none.
  base::TimePoint recovered_at{};
  // Latest era of the store that this daemon knows of, from the store itself or
  // from another daemon.
  fleet::StoreEra era;
  // When the store is listed again after a restore, to see which upstreams and
  // members have written themselves again; zero if there is nothing to see.
  base::TimePoint relist_due_at{};
  // Until this time this daemon asks the store readers which upstreams are
  // withheld from requests, because it may have read the restored store without
  // knowing who had left before.
  base::TimePoint asks_withheld_until{};
  // This daemon has started after a restore of the store. Until then it accepts
  // no requests, unless another daemon tells it before that its configuration
  // is the latest.
  base::TimePoint awaits_peers_until{};
  // When another daemon last sent a Hello, by which it asks this daemon to be
  // its store reader.
  base::TimePoint last_asked_at{};
  // Since when this daemon has been a store reader. It reports members as
  // unavailable only some time later, when each has had time to send a Hello.
  base::TimePoint reader_since{};

  // Deferred removal of an upstream whose entry expired during a store outage.
  // From `due_at` on, a list of the store shows whether the upstream has
  // written its entry again.
  struct DeferredRemoval {
    fleet::StoreRevision revision;
    base::TimePoint due_at{};
  };
  std::map<base::UpstreamId, DeferredRemoval> deferred_removals;

  // Lease of the member entry; 0 if there is none.
  platform::LeaseId lease;
  // The member entry has been written under the lease.
  bool registered = false;
  base::TimePoint registered_at{};
};

}  // namespace poplarfork::gateway
