#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <future>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "address/drain_type.h"
#include "base/ids_type.h"
#include "base/rng_type.h"
#include "base/time_type.h"
#include "claim/claim_state_type.h"
#include "daemon/decision_log_type.h"
#include "daemon/request_type.h"
#include "daemon/service_runtime_type.h"
#include "edge/server.h"
#include "load/load_state_type.h"
#include "membership/membership_type.h"
#include "metrics/registry_type.h"
#include "note/configuration_type.h"
#include "peer/transport_type.h"
#include "release/release_type.h"
#include "routing/group_member_type.h"
#include "routing/route_table_type.h"
#include "settings/settings_type.h"
#include "store/client_type.h"
#include "upstream/pool_type.h"
#include "vm_list/client_type.h"

namespace poplarfork::daemon {

// The whole state of one daemon. All of its code runs on `loop`, which a single
// thread executes, so that nothing here needs a lock.
struct Daemon {
  explicit Daemon(boost::asio::io_context& io) : loop(io), tick_timer(io) {}

  boost::asio::io_context& loop;
  settings::Settings settings;
  base::DaemonId self;
  base::DataCentreId data_centre;
  base::Incarnation incarnation;
  base::Rng rng;
  metrics::Registry metrics;
  DecisionLog decision_log;

  std::shared_ptr<edge::Server> edge_server;
  std::string edge_address;
  std::shared_ptr<edge::Server> admin_server;
  std::string admin_address;

  // The configuration in force; null until the daemon has learned a revision
  // that it may trust.
  std::shared_ptr<const note::Configuration> configuration;
  routing::RouteTable route_table;
  std::unordered_map<base::ServiceId, ServiceRuntime> services;

  // The live daemons of the fleet that are not leaving. This daemon is always
  // included, even while it is leaving.
  std::vector<routing::GroupMember> live_daemons;

  bool ready = false;
  release::ReleaseState release;
  // Sessions of operators whose publish request is still being processed, by
  // publication id.
  std::unordered_map<std::uint64_t, std::shared_ptr<edge::Exchange>>
      publish_exchanges;
  std::uint64_t next_publication_id = 1;

  membership::Membership membership;
  // The version of the member list that `live_daemons` was made from.
  std::uint64_t seen_member_list_version = 0;
  std::shared_ptr<peer::Transport> transport;

  claim::ClaimState claims;
  // The requests that the claim core decides about, by token.
  std::unordered_map<claim::RequestToken, RequestPtr> claimed_requests;

  store::ClientPtr store_client;
  // Whether the store replied to the last call that was reported to
  // UpdateStoreReachability().
  bool store_reachable = true;
  base::TimePoint next_store_check_at{};
  // The client of the platform's VM list; null if the settings have no address
  // of one.
  vm_list::ClientPtr vm_list_client;
  base::TimePoint next_vm_list_fetch_at{};
  // The addresses that the VM list marked as leaving when it was last read.
  std::set<std::string> leaving_vms;

  load::LoadState load;
  upstream::Pool upstream_pool;
  std::unordered_map<const edge::Exchange*, RequestPtr> requests_by_exchange;
  std::uint64_t next_request_number = 1;
  std::uint64_t next_attempt_number = 1;
  std::uint64_t next_request_token = 1;

  // The progress of a graceful shutdown.
  address::Drain drain;
  // This promise is fulfilled when the shutdown is complete and the process may
  // exit.
  std::promise<void> finished;

  boost::asio::steady_timer tick_timer;
  base::TimePoint next_tick_at{};
};

}  // namespace poplarfork::daemon
