#pragma once

#include <string>
#include <vector>

#include "soak/gateway_process_type.h"

namespace poplarfork::soak {

// Address at which a gateway takes the requests of callers.
std::string FrontAddress(const GatewayProcess& gateway);

// Writes the settings file of a gateway, which names `seeds` ("IP" of other
// gateways).
void WriteSettings(const GatewayProcess& gateway,
                   const std::vector<std::string>& seeds);

// Starts the process. Throws std::system_error if that fails.
void StartProcess(GatewayProcess& gateway, const std::string& program);

// Sends a signal to the process if it runs.
void SignalProcess(const GatewayProcess& gateway, int signal_number);

// Returns whether the process has ended since the last call, and forgets it
// then. `exit_status` is as waitpid() reports it.
bool HasEnded(GatewayProcess& gateway, int& exit_status);

// Kills the process if it runs and waits for its end.
void KillProcess(GatewayProcess& gateway);

}  // namespace poplarfork::soak
