#pragma once

#include <cstdint>
#include <limits>
#include <string>

#include "base/time_type.h"

namespace poplarfork::standin {

// Kinds of faults of an upstream. The comments give the names in fault
// commands.
enum class UpstreamFaultKind {
  // "slow": the run takes longer.
  kSlow,
  // "wrong" and "partial": the response has an error status.
  kErrorStatus,
  // "cut_body": half of the body is sent, then the connection is closed.
  kTruncatedBody,
  // "crossed": the response is that of the previous request.
  kPreviousResponse,
  // "late": the run takes longer, and the response is sent even after the
  // deadline.
  kLateResponse,
  // "crash": a request with a given header ends the upstream for some time.
  kCrash,
  // "hang": the request is read but neither run nor responded to.
  kHang,
  // "one_way_silence": the request is run, but its response is lost, as in a
  // network partition in one direction. Responses of the health and load
  // endpoints are lost too.
  kLostResponses,
  // "load_lie": the load endpoint shows a given value.
  kFalseLoad,
  // "load_lag": the load endpoint shows the load of some time ago.
  kLoadLag,
  // "health_lie": the health endpoint returns a given status.
  kFalseHealth,
  // "health_lag": the health endpoint shows draining only after some time.
  kHealthLag,
};

// An active fault. It affects a request whose target starts with `path_prefix`,
// with the given probability, and at most `remaining_count` requests. `kCrash`
// and the faults of the health and load endpoints ignore these three members.
struct UpstreamFault {
  UpstreamFaultKind kind = UpstreamFaultKind::kSlow;
  double probability = 1.0;
  std::uint64_t remaining_count = std::numeric_limits<std::uint64_t>::max();
  std::string path_prefix;
  // Additional service time, lag, or time after a crash during which
  // connections are refused, depending on the kind.
  base::Duration duration{};
  // Status of the response for `kErrorStatus` and `kFalseHealth`.
  unsigned status = 500;
  // Load that the load endpoint shows for `kFalseLoad`.
  double reported_load = 0.0;
  // Request header that causes a crash, and its value; "" stands for any value.
  std::string crash_header;
  std::string crash_header_value;
  // For `kPreviousResponse`: the response has the request id of the current
  // request instead of that of the previous one.
  bool has_own_request_id = false;
};

}  // namespace poplarfork::standin
