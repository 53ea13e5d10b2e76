#pragma once

#include <string>
#include <vector>

#include "base/time_type.h"
#include "health/event_type.h"
#include "note/service_type.h"

namespace poplarfork::replay {

// A service, the daemons that serve it and the load that it gets.
struct Workload {
  std::string name;
  note::Service service;
  std::vector<health::GroupMember> daemons;
  // The requests per second that the whole fleet gets.
  double requests_per_second = 1000;
  // The median latency of a healthy upstream.
  base::Duration typical_latency{};
  base::Duration deadline{};
};

}  // namespace poplarfork::replay
