#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/ids_type.h"
#include "base/time_type.h"

namespace poplarfork::health {

// Evidence about an upstream that the daemons of one data centre have reported.
struct PooledScore {
  // CUSUM statistic over the reported bad requests, in nats.
  double score = 0;
  base::TimePoint updated_at{};
  base::TimePoint first_bad{};
  base::TimePoint last_bad{};
  // Times at which each observer last reported a bad request and last reported
  // that it avoids the upstream.
  std::map<base::DaemonId, base::TimePoint> last_bad_reports;
  std::map<base::DaemonId, base::TimePoint> last_avoidance_reports;
};

// Evidence about one upstream, by the data centre of the observers.
struct PooledUpstream {
  std::map<base::DataCentreId, PooledScore> by_data_centre;
  // No further line is logged for a declined ejection before this time.
  base::TimePoint next_decline_log{};
};

// State of the coordinator of a service. It stays empty on other daemons unless
// they receive reports because the daemons disagree on the coordinator.
struct CoordinatorState {
  std::map<base::UpstreamId, PooledUpstream> upstreams;
  // Requests per second that each observer sends to the service.
  std::map<base::DaemonId, double> request_rates;
  bool read_pending = false;
  bool write_pending = false;
  base::TimePoint last_read{};
  base::TimePoint last_write{};
  base::TimePoint last_ledger_send{};
  // Times at which this daemon first saw each entry, by sequence, among the
  // removed ones.
  std::map<std::uint64_t, base::TimePoint> removed_first_seen;
};

}  // namespace poplarfork::health
