#pragma once

#include <optional>

#include "base/time_type.h"
#include "upstream/http_type.h"

namespace poplarfork::upstream {

// Returns the idle timeout in the Keep-Alive field of a response (at most one
// hour), or nothing if the field has no timeout in whole seconds.
std::optional<base::Duration> ParseKeepAliveTimeout(const HttpHeader& header);

}  // namespace poplarfork::upstream
