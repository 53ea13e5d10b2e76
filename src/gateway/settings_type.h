#pragma once

#include <string>
#include <vector>

#include "base/time_type.h"

namespace poplarfork::gateway {

// Settings of one gateway, as read from its YAML file. The member names are the
// keys of the file. settings_table.cc defines the limits and the default of
// each entry.
struct Settings {
  // Name of the gateway in its log lines.
  std::string name;
  std::string data_centre;
  // "IP:port" that callers send requests to.
  std::string front_address;
  // "IP:port" of the readiness check.
  std::string ready_address;
  // "IP:port" from which other gateways fetch the configuration and which
  // serves the metrics.
  std::string control_address;
  // "IP:port" from which callers get the addresses of gateways.
  std::string directory_address;
  // "IP:port" of the datagram socket for messages of other gateways.
  std::string peer_address;
  // "IP:port" of the store.
  std::string store_address;
  // Control addresses of gateways that may be running already. This gateway
  // sends its first Hellos to them, at the port of its own peer address.
  std::vector<std::string> seeds;

  // Interval at which upstreams write their entries into the store.
  base::Duration upstream_heartbeat{};
  // Time after SIGTERM after which the process is killed.
  base::Duration grace_time{};
  // Upper limit of the time for which callers may use the addresses of
  // gateways.
  base::Duration address_ttl_limit{};
  // Retries per request, over all gateways.
  double retry_ratio = 0;
  // Retries that are allowed in addition to the ratio.
  std::int64_t retry_allowance = 0;
  // Hedges per first attempt, over all gateways; 0 turns them off.
  double hedge_share = 0;
  // Share of the healthy upstreams that must get requests.
  double floor_share = 0;
  // Time after which no gateway accepts a withdrawn key, also while it is cut
  // off; 0 for none. It has effect only with `strict_key_revocation`.
  base::Duration key_revocation_limit{};
  // A gateway whose view has not been confirmed for `key_revocation_limit`
  // serves no request that carries a key.
  bool strict_key_revocation = false;
  // Requests of one caller connection that may be in progress at the same time.
  std::int64_t pipeline_limit = 1;
  // Memory of the VM in MB; half of it may hold buffers for callers and
  // upstreams. 0: no limit.
  double memory_limit_mb = 0;
  // Resources of the VM that this process may use: the share of a processor
  // core, the speed of that core relative to an ordinary one, and the bandwidth
  // of the link.
  double cpu_share = 0;
  double cpu_speed = 0;
  double link_mbps = 0;
};

}  // namespace poplarfork::gateway
