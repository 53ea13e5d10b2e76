#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time_type.h"

namespace poplarfork::bench {

// A run may send at most `kMaxRequests` requests per target and last at most
// `kMaxLoadDuration` per target.
inline constexpr std::uint64_t kMaxRequests = 20'000'000;
inline constexpr base::Duration kMaxLoadDuration = std::chrono::minutes(30);

// The options of a load run.
struct LoadOptions {
  // The "IP:PORT" of each target. Only loopback addresses are accepted.
  std::vector<std::string> targets;
  std::size_t connections_per_target = 4;
  // The requests per second that are sent while a target is active. 0 means a
  // closed loop, in which each connection sends its next request when it has
  // got the last response.
  double requests_per_second = 0.0;
  // The total time for which each target is active, without the warm-up.
  base::Duration duration = std::chrono::seconds(10);
  base::Duration warm_up_time = std::chrono::seconds(1);
  // If there are several targets, they are active in turn, each for this time.
  base::Duration slice_time = std::chrono::milliseconds(500);
  // The limit of requests to each target, without those of the warm-up.
  std::uint64_t max_requests = 1'000'000;
  base::Duration request_timeout = std::chrono::seconds(10);
  std::string method = "GET";
  std::string path = "/";
  std::string host;
  std::string account;
  // Each request gets an Idempotency-Key of its own.
  bool sends_idempotency_keys = false;
  std::size_t body_bytes = 0;
  // Each response is checked for being complete and belonging to its request.
  // The path must be served by the stand-in upstream. The body of
  // /body?bytes=N is checked byte by byte.
  bool verifies_responses = false;
};

}  // namespace poplarfork::bench
