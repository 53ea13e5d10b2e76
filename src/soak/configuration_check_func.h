#pragma once

#include "soak/configuration_check_type.h"

namespace poplarfork::soak {

void RecordAcknowledgement(ConfigurationCheck& check,
                           std::uint64_t version,
                           base::TimePoint now);

// Records that a gateway is disturbed until `until`. A new process knows
// nothing of what the earlier one had in force.
void RecordDisturbance(ConfigurationCheck& check,
                       std::uint32_t gateway,
                       base::TimePoint until);
void RecordNewProcess(ConfigurationCheck& check,
                      std::uint32_t gateway,
                      base::TimePoint now);

// Records the status of the response to a probe. Only 200 and 404 show whether
// the version of the probe is in force.
void RecordProbeResult(ConfigurationCheck& check,
                       const Probe& probe,
                       unsigned status,
                       base::TimePoint now);

}  // namespace poplarfork::soak
