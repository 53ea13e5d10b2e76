#pragma once

#include <string>

#include "base/ids_type.h"
#include "base/time_type.h"
#include "fleet/ids_type.h"

namespace poplarfork::fleet {

// Capacity, in cores, that is assumed for a daemon that reports none: that of a
// small VM.
inline constexpr double kDefaultCapacityCores = 0.1;

// A daemon of the fleet as it is registered in the store's member list.
struct Member {
  // Address of the daemon's datagram socket.
  base::DaemonId id;
  // "IP:port" to which callers connect.
  std::string front_address;
  // "IP:port" from which other daemons fetch the configuration.
  std::string control_address;
  base::DataCentreId data_centre;
  // Capacity of the daemon's VM in processor cores.
  double capacity = kDefaultCapacityCores;
};

// A member as this daemon knows it.
struct MemberRecord {
  Member member;
  StoreRevision change_revision;
  bool removed = false;
  base::TimePoint learned_at{};
  // When this daemon last received a message from the member; zero if never.
  base::TimePoint last_heard_at{};
  // The member reported that it accepts callers' requests.
  bool accepting = true;
  // The member reported that its reads of the store are out of date.
  bool store_stale = false;
  // The member did not reply, so no requests are sent to it before this time.
  base::TimePoint suspected_until{};
};

}  // namespace poplarfork::fleet
