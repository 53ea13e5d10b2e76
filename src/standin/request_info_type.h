#pragma once

#include <cstdint>
#include <string>

namespace poplarfork::standin {

// The parts of a request from which an upstream makes the response. With the
// fault "crossed", the response is made from the previous request's
// `RequestInfo` instead.
struct RequestInfo {
  std::string method;
  std::string target;
  std::string request_id;
  std::string idempotency_key;
  std::string range;
  std::string if_range;
  std::uint64_t body_bytes = 0;
  // True when the path is /body, whose response has a generated body. The next
  // two members hold N and S of the target /body?bytes=N&seed=S.
  bool is_generated = false;
  std::uint64_t generated_bytes = 0;
  std::uint64_t generated_seed = 0;
};

}  // namespace poplarfork::standin
