#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "base/ids_type.h"
#include "base/time_type.h"
#include "health/ledger_type.h"
#include "health/report_type.h"
#include "health/request_outcome_type.h"
#include "note/service_type.h"

namespace poplarfork::health {

// Hash of the request's method, path and body. Requests with the same
// fingerprint do the same work. 0 if the fingerprint is not known.
using Fingerprint = std::uint64_t;

// A request was sent to an upstream.
struct RequestStarted {
  // Number of the request within this daemon. It is unique while the request is
  // in flight.
  std::uint64_t request_number = 0;
  base::UpstreamId upstream;
  Fingerprint fingerprint = 0;
  // True if a pooled connection carries the request.
  bool reused_connection = false;
};

// A request to an upstream ended. A request that is retried at another upstream
// ends here and starts again under another number.
struct RequestFinished {
  std::uint64_t request_number = 0;
  base::UpstreamId upstream;
  RequestOutcome outcome = RequestOutcome::kSuccess;
  // Time from sending the first byte of the request to receiving the first byte
  // of the response.
  base::Duration latency{};
  bool reused_connection = false;
  Fingerprint fingerprint = 0;
};

// Periodic event, delivered every 100 ms. `loop_lateness` is how much later
// than planned the event loop delivered it; it is 0 if the loop was on time.
struct Tick {
  base::Duration loop_lateness{};
};

// A probe that a `kProbe` action asked for has ended. Probes use a new
// connection. A passed probe is only a hint, because a health endpoint can
// report success while requests fail.
struct ProbeFinished {
  base::UpstreamId upstream;
  bool passed = false;
  base::Duration latency{};
};

// A new revision of the service's configuration is in force.
struct ServiceChanged {
  note::Service service;
};

// An upstream started or stopped draining, as requested by a release note, the
// VM list or a header of the upstream's own responses.
struct DrainChanged {
  base::UpstreamId upstream;
  bool draining = false;
};

// A daemon that serves the service.
struct GroupMember {
  base::DaemonId daemon;
  base::DataCentreId data_centre;

  friend bool operator==(const GroupMember&, const GroupMember&) = default;
};

// The live members of the service's group changed. The list includes this
// daemon.
struct GroupChanged {
  std::vector<GroupMember> members;
};

// A health report arrived from a peer.
struct ReportReceived {
  HealthReport report;
};

// The ledger was read from the store or arrived from the coordinator. If the
// store has no such key, an empty ledger of the service with version 0 is
// delivered. A failed read delivers no event; the coordinator reads again after
// 5 s.
struct LedgerReceived {
  Ledger ledger;
  bool from_store = false;
};

// A compare-and-swap that a `kWriteLedger` action asked for has ended.
// `succeeded` is false after a version conflict and if the store did not
// respond. The coordinator then reads the ledger again before it writes.
struct LedgerWriteFinished {
  bool succeeded = false;
  // The ledger as stored, with its new version. It is set only on success.
  Ledger ledger;
};

// A peer announced a request that crashes upstreams.
struct CrashAnnounced {
  Fingerprint fingerprint = 0;
};

// There is evidence against most upstreams of several services at once, so this
// daemon itself is at fault. `IsObserverSuspect` detects this condition.
struct ObserverSuspected {};

using Event = std::variant<RequestStarted,
                           RequestFinished,
                           Tick,
                           ProbeFinished,
                           ServiceChanged,
                           DrainChanged,
                           GroupChanged,
                           ReportReceived,
                           LedgerReceived,
                           LedgerWriteFinished,
                           CrashAnnounced,
                           ObserverSuspected>;

}  // namespace poplarfork::health
