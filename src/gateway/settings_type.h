#pragma once

#include <string>
#include <vector>

#include "base/time_type.h"

namespace poplarfork::gateway {

// The settings of one gateway as its YAML file gives them. The table in
// settings_table.cc holds the limits and defaults of each entry.
struct Settings {
  std::string name;
  std::string data_centre;
  // "IP:port" where callers send requests.
  std::string front_address;
  // "IP:port" where readiness is asked.
  std::string ready_address;
  // "IP:port" for other gateways and for metrics.
  std::string control_address;
  // "IP:port" where callers ask for addresses.
  std::string directory_address;
  // "IP:port" of the datagram socket for other gateways.
  std::string peer_address;
  // "IP:port" of the store.
  std::string store_address;
  // Control addresses of gateways that may be there already.
  std::vector<std::string> seeds;

  // Time from SIGTERM to the forced end.
  base::Duration grace_time{};
  // Longest time for which callers keep addresses.
  base::Duration address_ttl_limit{};
  double retry_ratio = 0;
  std::int64_t retry_allowance = 0;
  double floor_share = 0;
  // What the VM grants this process: share of a core, speed of the core against
  // an ordinary one, and its link.
  double cpu_share = 0;
  double cpu_speed = 0;
  double link_mbps = 0;
};

}  // namespace poplarfork::gateway
