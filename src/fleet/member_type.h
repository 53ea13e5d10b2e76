#pragma once

#include <string>

#include "base/ids_type.h"
#include "base/time_type.h"
#include "fleet/ids_type.h"

namespace poplarfork::fleet {

// Capacity of a daemon that states none, in cores: that of a small VM.
inline constexpr double kDefaultCapacity = 0.1;

// A daemon of the fleet as the store's member list names it.
struct Member {
  // Address of its datagram socket.
  base::DaemonId id;
  // "IP:port" that callers connect to.
  std::string front_address;
  // "IP:port" from which other daemons fetch the configuration.
  std::string control_address;
  base::DataCentreId data_centre;
  // What its VM can carry, in processor cores.
  double capacity = kDefaultCapacity;
};

// A member as one daemon knows it.
struct MemberRecord {
  Member member;
  StoreRevision changed;
  bool removed = false;
  base::TimePoint learned_at{};
  // When it was last heard; zero if never.
  base::TimePoint heard_at{};
  // It told that it takes callers' requests.
  bool accepting = true;
  // It told that its reads of the store are out of date.
  bool store_stale = false;
  // Not asked before this time, because it did not answer.
  base::TimePoint suspected_until{};
};

}  // namespace poplarfork::fleet
