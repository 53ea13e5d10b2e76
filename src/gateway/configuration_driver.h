#pragma once

#include <string>

#include "gateway/gateway_type.h"

namespace poplarfork::gateway {

// Decodes a configuration and puts it into force if its version is later than
// that of the current one. If it cannot be decoded, the current one stays in
// force. `source` says in the log where the configuration comes from. Returns
// whether it was put into force.
bool InstallConfiguration(Gateway& gateway,
                          const std::string& text,
                          const char* source);

// Returns whether `version` or a later one is in force.
bool HasConfiguration(const Gateway& gateway,
                      fleet::ConfigurationVersion version);

// Handles the news that the daemon `from` has `version` in force. Fetches that
// configuration if it is later than the one in force here.
void OnConfigurationAnnounced(Gateway& gateway,
                              const base::DaemonId& from,
                              fleet::ConfigurationVersion version);

// Fetches again if a later version than `wanted` was announced during a fetch
// that has ended, and is not in force yet.
void FetchLaterConfiguration(Gateway& gateway,
                             fleet::ConfigurationVersion wanted);

// Fetches the configuration from the daemon `from`, which has a newer one. If
// this fails, the configuration is read from the store. Does nothing while
// another fetch or read of the configuration is in progress.
void FetchConfiguration(Gateway& gateway, const base::DaemonId& from);

}  // namespace poplarfork::gateway
