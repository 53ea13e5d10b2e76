#pragma once

#include <cstdint>
#include <vector>

#include "base/ids_type.h"

namespace poplarfork::health {

// Observations of one upstream by one daemon since the daemon's previous
// report.
struct ReportItem {
  base::UpstreamId upstream;
  // Failed requests, without those that were attributed to a connection or to
  // the request itself.
  std::uint32_t failures = 0;
  // Requests that took at least `kSlowLatencyRatio` times as long as is
  // typical.
  std::uint32_t slow = 0;
  // True if the daemon has recently started to avoid the upstream because of
  // its own evidence.
  bool avoiding = false;
};

// A connection that was lost while it carried a request.
struct ConnectionLoss {
  std::uint64_t fingerprint = 0;
  base::UpstreamId upstream;
};

// A daemon's report to the coordinator of the service. It is sent only if there
// is something to report.
struct HealthReport {
  base::ServiceId service;
  base::DaemonId observer;
  base::DataCentreId data_centre;
  // Requests per second that the observer sends to the service.
  double request_rate = 0;
  std::vector<ReportItem> items;
  std::vector<ConnectionLoss> losses;
};

}  // namespace poplarfork::health
