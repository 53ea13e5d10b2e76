#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/ids_type.h"
#include "base/time_type.h"
#include "fleet/account_key_index_type.h"
#include "fleet/client_account_type.h"
#include "fleet/ids_type.h"

namespace poplarfork::fleet {

// A service that receives a share of a route's requests.
struct RouteTarget {
  base::ServiceId service;
  std::uint32_t weight = 1;
};

// A route of the operator's configuration.
struct Route {
  std::string name;
  // Begins and ends with a slash.
  std::string path_prefix;
  // A request of this route may run more than once.
  bool repeatable = false;
  // Responses of this route are long and the requests are repeatable. Requests
  // are handled like those of other repeatable routes.
  bool is_download = false;
  // Requests of this route need no key of a client account.
  bool is_public = false;
  // Longest time that a request may be kept waiting.
  base::Duration timeout{};
  // A response within this time is on time.
  base::Duration latency_objective{};
  // 0 is the most urgent.
  std::uint32_t priority = 0;
  // Maximum number of upstreams to which one request may be sent.
  std::uint32_t max_attempts = 1;
  std::vector<RouteTarget> targets;
};

// A service of the operator's configuration.
struct Service {
  std::string health_path;
  // Connections that one upstream accepts, summed over all daemons.
  std::uint32_t max_connections = 1;
};

// Limits on the size of a caller's request, and on how long a caller may take
// to send it or keep a connection idle.
struct CallerLimits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = 64 * 1024 * 1024;
  base::Duration header_timeout = std::chrono::seconds(10);
  base::Duration idle_timeout = std::chrono::seconds(60);
};

// The operator's complete configuration.
struct Configuration {
  ConfigurationVersion version;
  // Routes by host name in lower case, those with the longest prefix first.
  std::map<std::string, std::vector<Route>, std::less<>> routes_by_host;
  std::map<base::ServiceId, Service> services;
  // Requests need the key of a client account, except those of public routes.
  bool has_accounts = false;
  // Empty if callers need no accounts.
  std::map<base::AccountId, ClientAccount> accounts;
  AccountKeyIndex accounts_by_key;
  CallerLimits limits;
};

}  // namespace poplarfork::fleet
