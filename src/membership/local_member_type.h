#pragma once

#include <cstdint>
#include <string>

#include "base/ids_type.h"
#include "base/time_type.h"

namespace poplarfork::membership {

// This daemon's statement about itself, which it sends to other members.
struct LocalMember {
  base::DaemonId daemon;
  // "IP:port" at which this daemon serves callers.
  std::string edge_address;
  base::DataCentreId data_centre;
  base::Incarnation incarnation;
  base::Revision revision;
  // Raised with each new statement of this daemon about itself, and to refute
  // a suspicion or its death. The SWIM paper calls this number the incarnation;
  // here, `incarnation` distinguishes the runs of the daemon.
  std::uint32_t version = 1;
  // Load in percent.
  std::uint8_t load = 0;
  bool is_leaving = false;
  bool has_left = false;
  // Another member reported a later incarnation at this address.
  bool is_incarnation_outdated = false;
  // The last announcement stated a high load.
  bool is_high_load_announced = false;
  base::TimePoint load_announced_at;
};

}  // namespace poplarfork::membership
