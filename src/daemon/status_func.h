#pragma once

// cpprest/json.h defines a macro named I, which breaks boost/variant2 if
// cpprest/json.h is included first.
#include "daemon/daemon_type.h"

#include <cpprest/json.h>

namespace poplarfork::daemon {

// Returns the state of this daemon and what it knows about the fleet: the
// members with their revisions, the upstreams with their health, and whether
// the store is reachable.
web::json::value MakeStatusReport(const Daemon& daemon, base::TimePoint now);

// Returns the recent release notes with their authors, publication times and
// revision numbers.
web::json::value MakeReleaseHistory(const Daemon& daemon);

// Updates the gauges that are computed only when the metrics are read.
void UpdateGauges(Daemon& daemon);

}  // namespace poplarfork::daemon
