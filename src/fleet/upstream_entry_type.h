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
  // Increases each time the upstream writes its entry. 0 if the entry states
  // none, or if it is not known because this daemon has not read the last
  // entry itself.
  std::uint64_t sequence = 0;
};

// An upstream as this daemon knows it. The record of a removed upstream is kept
// for some time so that other daemons learn of the removal.
struct UpstreamRecord {
  UpstreamEntry entry;
  // Revision of the last change that was not only a heartbeat.
  StoreRevision change_revision;
  bool removed = false;
  // The entry of the present era of the store may come from the older copy that
  // the store was restored from: no later write has been seen. A removed
  // upstream with such an entry is withheld from requests.
  bool restored = false;
  // Last revision of earlier eras; zero if the upstream was not known then.
  StoreRevision earlier_revision;
  // When this daemon learned of the last change.
  base::TimePoint learned_at{};
};

}  // namespace poplarfork::fleet
