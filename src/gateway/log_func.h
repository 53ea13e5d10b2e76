#pragma once

#include "gateway/gateway_type.h"
#include "logging/json_line_func.h"

namespace poplarfork::gateway {

// Logs one event with its members. The line is buffered and is written to
// standard output by a timer, which never blocks.
void Log(Gateway& gateway,
         std::string_view event,
         const logging::Fields& fields);

// Converts a duration to milliseconds, rounded to hundredths, as times are
// written in log lines.
double ToMilliseconds(base::Duration duration);

}  // namespace poplarfork::gateway
