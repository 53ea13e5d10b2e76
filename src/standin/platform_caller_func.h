#pragma once

#include <string>

#include <boost/beast/http.hpp>

#include "base/time_type.h"

namespace poplarfork::standin {

using PlatformRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

// Adds the header fields with which a caller of the platform names its request
// and says how long it waits.
void SetCallerFields(PlatformRequest& request,
                     const std::string& request_id,
                     base::Duration time_left);

}  // namespace poplarfork::standin
