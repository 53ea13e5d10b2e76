#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/time_type.h"
#include "dispatch/message_type.h"
#include "dispatch/placement_func.h"
#include "dispatch/upstream_state_type.h"

namespace poplarfork::dispatch {

// An upstream that a request may be sent to.
struct PlacementCandidate {
  base::UpstreamId id;
  base::DataCentreId data_centre;
  HealthStatus health_status = HealthStatus::kHealthy;
  double fault_probability = 0;
  std::uint32_t running_count = 0;
  std::uint32_t slots = 0;
  // See PlacementCost().
  double cost = 0;
};

// An upstream that a request is not sent to.
struct ExcludedUpstream {
  base::UpstreamId id;
  Exclusion reason = Exclusion::kDraining;
};

enum class ExpectedResult { kGranted, kQueued, kRefused };

// What a dispatcher would reply to a slot request.
struct ExpectedReply {
  ExpectedResult result = ExpectedResult::kRefused;
  // Upstream of a grant. Of candidates whose costs differ by less than
  // kTieBreakNoise, one is chosen at random; this is the cheapest of them.
  base::UpstreamId upstream;
  bool for_coverage = false;
  bool is_near_tie = false;
  // Reason of a refusal, and its Retry-After. The time is the mean of the
  // random one that a caller gets.
  RefusalReason reason = RefusalReason::kNotReady;
  base::Duration retry_after{};
};

// What a dispatcher would reply to a slot request, and why.
struct Explanation {
  // Tokens that are left of the account's rate limit; empty if the request
  // counts towards none.
  std::optional<double> account_tokens;
  // Number of requests in the queue.
  std::size_t waiting_count = 0;
  // In the order of cost.
  std::vector<PlacementCandidate> candidates;
  std::vector<ExcludedUpstream> excluded;
  ExpectedReply reply;
};

}  // namespace poplarfork::dispatch
