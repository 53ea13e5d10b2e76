#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace poplarfork::settings {

// The settings of one daemon as its YAML file gives them. The table in
// settings_table.cc contains the limits, units and default values of all
// entries.
struct Settings {
  // "IP:port" to which callers connect.
  std::string edge_address;
  // "IP:port" of the administration API for operators and metrics.
  std::string admin_address;
  // "IP:port" of the ZeroMQ socket to which other daemons connect.
  std::string peer_address;
  std::string data_centre;
  // "IP:port" of the store.
  std::string store_address;
  // "IP:port" of the VM list of the platform. Empty if there is none.
  std::string vm_list_address;
  // The secret that all daemons of one fleet share.
  std::string cluster_key;
  // The token that operators must present to publish. If it is empty, everyone
  // who can reach the administration address may publish.
  std::string operator_token;
  // Peer addresses through which a daemon joins the fleet, in addition to those
  // in the VM list.
  std::vector<std::string> seeds;

  std::int64_t max_header_bytes = 0;
  std::int64_t max_request_body_bytes = 0;
  std::int64_t max_buffered_bytes = 0;
  std::int64_t max_caller_connections = 0;
  std::int64_t caller_header_timeout_ms = 0;
  std::int64_t caller_idle_timeout_ms = 0;
  std::int64_t caller_write_timeout_ms = 0;
  std::int64_t upstream_connect_timeout_ms = 0;
  std::int64_t upstream_silence_timeout_ms = 0;
  std::int64_t upstream_idle_timeout_ms = 0;
  std::int64_t store_timeout_ms = 0;
  std::int64_t address_lifetime_ms = 0;
  std::int64_t drain_limit_ms = 0;
  std::int64_t tick_ms = 0;
  std::int64_t random_seed = 0;
};

}  // namespace poplarfork::settings
