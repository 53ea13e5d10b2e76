#pragma once

#include "base/time_type.h"

namespace poplarfork::standin {

// How an upstream runs a request that has got a slot, and how it responds. The
// plan is made at the start of the run, from the active faults.
struct RunPlan {
  base::Duration work{};
  unsigned status = 200;
  // Half of the body is sent, then the connection is closed.
  bool is_cut = false;
  // The response is that of the previous request; with `has_own_request_id` it
  // carries the request id of this request nevertheless.
  bool is_crossed = false;
  bool has_own_id = false;
  // The run continues and its response is sent, although the deadline has
  // passed or the caller has disconnected.
  bool is_late = false;
  // The request is run, but no response is sent.
  bool is_never_answered = false;
};

}  // namespace poplarfork::standin
