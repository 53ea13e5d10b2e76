#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "bench/load_options_type.h"
#include "bench/request_plan_type.h"

namespace poplarfork::bench {

// What is wrong with a complete response.
enum class ResponseFault {
  kNone,
  // The body has fewer or more bytes than the request asked for.
  kWrongLength,
  // The body does not belong to this request.
  kWrongContent,
};

// The progress of checking one response. Its body is checked chunk by chunk as
// it arrives.
struct ResponseCheck {
  RequestPlan plan;
  std::uint64_t received_bytes = 0;
  bool has_wrong_content = false;
  // The first 16 KiB of a body that is not generated; it should echo the
  // request.
  std::string echo_text;
};

// Returns the request with the given number. It differs from all other requests
// of the run, so that the response to another request is recognized.
RequestPlan PlanRequest(const LoadOptions& options,
                        std::uint64_t request_number);

// Checks the next chunk of the response's body.
void CheckBodyChunk(ResponseCheck& check, std::string_view chunk);

// Returns the fault, if any, of a complete response with status 200.
ResponseFault EvaluateResponse(const ResponseCheck& check);

}  // namespace poplarfork::bench
