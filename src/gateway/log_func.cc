#include "gateway/log_func.h"

#include <cmath>

#include "logging/buffered_output_func.h"
#include "metrics/registry_func.h"

namespace poplarfork::gateway {

namespace {

// Time for which log lines are collected before they are written together. One
// system call for each line would cost more than formatting the line.
constexpr base::Duration kLogFlushDelay = std::chrono::milliseconds(250);

void ArmLogFlushTimer(Gateway& gateway) {
  gateway.log_flush_pending = true;
  gateway.log_flush_timer.expires_after(kLogFlushDelay);
  gateway.log_flush_timer.async_wait(
      [&gateway](const boost::system::error_code& error) {
        if (error)
          return;
        gateway.log_flush_pending = false;
        if (logging::FlushOutput())
          ArmLogFlushTimer(gateway);
        metrics::SetGauge(gateway.metrics, "log_lines_dropped",
                          static_cast<double>(logging::CountDroppedLines()));
      });
}

}  // namespace

void Log(Gateway& gateway,
         std::string_view event,
         const logging::Fields& fields) {
  logging::WriteJsonLine(event, fields);
  if (!gateway.log_flush_pending)
    ArmLogFlushTimer(gateway);
}

double ToMilliseconds(base::Duration duration) {
  constexpr double kMicrosecondsPerHundredthMs = 10;
  constexpr double kHundredthsPerMs = 100;
  return std::round(static_cast<double>(duration.count()) /
                    kMicrosecondsPerHundredthMs) /
         kHundredthsPerMs;
}

}  // namespace poplarfork::gateway
