#pragma once

#include <nlohmann/json.hpp>

#include "dispatch/explanation_type.h"

namespace poplarfork::gateway {

// Formats a dispatcher's explanation for the response to GET /where, with up to
// five candidates and all excluded upstreams.
nlohmann::ordered_json FormatExplanation(
    const dispatch::Explanation& explanation);

// Formats the outcome of a request that is refused without a dispatcher.
nlohmann::ordered_json FormatRejection(unsigned status, const char* reason);

}  // namespace poplarfork::gateway
