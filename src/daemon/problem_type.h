#pragma once

#include <boost/beast/http/status.hpp>
#include <string>

#include "base/time_type.h"
#include "daemon/outcome_type.h"

namespace poplarfork::daemon {

// An error response that the daemon itself sends in place of an upstream's
// response.
struct Problem {
  boost::beast::http::status status =
      boost::beast::http::status::service_unavailable;
  Outcome outcome = Outcome::kNotRun;
  // A short machine-readable name of the cause.
  std::string reason;
  // This is sent in the field Retry-After if it is above 0.
  base::Duration retry_after{};
};

}  // namespace poplarfork::daemon
