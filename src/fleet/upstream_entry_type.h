#pragma once

#include <cstdint>
#include <string>

#include "base/ids_type.h"
#include "base/time_type.h"
#include "fleet/ids_type.h"

namespace poplarfork::fleet {

enum class UpstreamPhase { kReady, kDraining };

// The data that an upstream publishes about itself.
struct UpstreamEntry {
  base::UpstreamId id;
  base::ServiceId service;
  // "IP:port" for requests and health probes.
  std::string address;
  base::DataCentreId data_centre;
  // Number of requests that the upstream runs at the same time.
  std::uint32_t slots = 1;
  UpstreamPhase phase = UpstreamPhase::kReady;
  // Until this time the upstream is slower than usual because it has just
  // started.
  base::TimePoint cold_until{};
  // Changes each time the upstream starts with the same id.
  base::Incarnation incarnation;
};

// An upstream as this daemon knows it. The record of a removed upstream is kept
// for some time so that other daemons learn of the removal.
struct UpstreamRecord {
  UpstreamEntry entry;
  // Revision of the last change that was not only a heartbeat.
  StoreRevision change_revision;
  bool removed = false;
  // When this daemon learned of the last change.
  base::TimePoint learned_at{};
};

}  // namespace poplarfork::fleet
