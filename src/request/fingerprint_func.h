#pragma once

#include <string_view>

#include "dispatch/message_type.h"

namespace poplarfork::request {

// Returns the hashes by which a request is recognized when it comes again.
// `caller` is the caller's IP address, `target` the path with the query.
dispatch::RequestFingerprints ComputeFingerprints(std::string_view caller,
                                                  std::string_view method,
                                                  std::string_view target,
                                                  std::string_view body);

}  // namespace poplarfork::request
