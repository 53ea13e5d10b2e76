#pragma once

#include <functional>

#include "soak/fleet_type.h"

namespace poplarfork::soak {

// Host of all requests.
inline constexpr const char* kSoakHost = "soak.example";

// Starts the store, the upstreams and the gateways and writes the first
// configuration.
void StartFleet(Fleet& fleet);

// Ends everything that the fleet started.
void StopFleet(Fleet& fleet);

// Writes the next configuration, which adds a route of its own and keeps those
// of the versions before it.
void WriteNextConfiguration(Fleet& fleet);
// Writes the latest configuration again, as after a restore of the store.
void WriteConfiguration(Fleet& fleet);

// Writes the entry of an upstream into the store.
void WriteEntry(Fleet& fleet, const standin::PlatformUpstream& upstream);

// Starts a gateway's process again after its end.
void StartGatewayProcess(Fleet& fleet, std::uint32_t gateway);

// Starts to restart gateways that have ended, to send heartbeats and to check
// for unexpected ends.
void StartSupervision(Fleet& fleet);

// Calls `action` on the loop after `delay`, unless the run is ending.
void RunAfter(Fleet& fleet, base::Duration delay, std::function<void()> action);

// Path prefix of the route that a version adds.
std::string VersionPrefix(std::uint64_t version);

// Writes a line with the time since the start of the run.
void WriteRecord(const Fleet& fleet, const std::string& text);

}  // namespace poplarfork::soak
