#pragma once

#include "base/time_type.h"

namespace poplarfork::standin {

// How an upstream runs a request that has got a slot, and how it responds. The
// plan is made at the start of the run, from the active faults.
struct RunPlan {
  base::Duration service_time{};
  unsigned status = 200;
  // Half of the body is sent, then the connection is closed.
  bool is_body_truncated = false;
  // The response is that of the previous request; with `has_own_request_id` it
  // carries the request id of this request nevertheless.
  bool is_for_previous_request = false;
  bool has_own_request_id = false;
  // The run continues and its response is sent, although the deadline has
  // passed or the caller has disconnected.
  bool ignores_deadline = false;
  // The request is run, but no response is sent.
  bool is_response_lost = false;
};

}  // namespace poplarfork::standin
