#include "daemon/startup_func.h"

#include <sodium.h>

#include <chrono>
#include <utility>

#include "claim/claim_func.h"
#include "clock/now_func.h"
#include "daemon/admin_func.h"
#include "daemon/edge_func.h"
#include "daemon/membership_func.h"
#include "daemon/peer_func.h"
#include "daemon/problem_func.h"
#include "daemon/release_driver_func.h"
#include "daemon/request_func.h"
#include "daemon/tick_func.h"
#include "logging/log_func.h"
#include "membership/membership_func.h"
#include "metrics/registry_func.h"
#include "peer/transport_builder_type.h"
#include "release/release_func.h"
#include "store/client_func.h"
#include "vm_list/client_func.h"

namespace poplarfork::daemon {

namespace {

using web::json::value;

// Returns the incarnation number of this run of the daemon, which must be
// larger than those of earlier runs at the same address. VMs have no persistent
// storage, so the wall clock is the only source. If the clock has been set back
// by more than the time that the restart took, the peers regard this daemon as
// dead until they have removed the entry of its earlier run.
base::Incarnation MakeIncarnation() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  return {static_cast<std::uint64_t>(milliseconds)};
}

void SeedRng(Daemon& daemon) {
  auto seed = static_cast<std::uint64_t>(daemon.settings.random_seed);
  if (seed == 0)
    randombytes_buf(&seed, sizeof(seed));
  daemon.rng.seed(seed);
  auto fields = value::object();
  fields["seed"] = value::string(std::to_string(seed));
  logging::WriteLogLine("random_seed", std::move(fields));
}

edge::Limits MakeEdgeLimits(const settings::Settings& settings) {
  using std::chrono::milliseconds;
  edge::Limits limits;
  limits.max_header_bytes =
      static_cast<std::uint32_t>(settings.max_header_bytes);
  limits.max_body_bytes =
      static_cast<std::uint64_t>(settings.max_request_body_bytes);
  limits.max_buffered_bytes =
      static_cast<std::uint64_t>(settings.max_buffered_bytes);
  limits.max_connections =
      static_cast<std::size_t>(settings.max_caller_connections);
  limits.header_timeout = milliseconds(settings.caller_header_timeout_ms);
  limits.idle_timeout = milliseconds(settings.caller_idle_timeout_ms);
  limits.write_timeout = milliseconds(settings.caller_write_timeout_ms);
  return limits;
}

void SetPoolLimits(Daemon& daemon) {
  using std::chrono::milliseconds;
  const settings::Settings& settings = daemon.settings;
  daemon.upstream_pool.limits.connect_timeout =
      milliseconds(settings.upstream_connect_timeout_ms);
  daemon.upstream_pool.limits.silence_timeout =
      milliseconds(settings.upstream_silence_timeout_ms);
  daemon.upstream_pool.limits.idle_timeout =
      milliseconds(settings.upstream_idle_timeout_ms);
}

edge::HttpResponse MakeRejectionResponse(Daemon& daemon,
                                         const std::string& caller,
                                         const edge::Rejection& rejection) {
  metrics::IncrementCounter(
      daemon.metrics,
      "poplarfork_bad_input_total{reason=\"" + rejection.reason + "\"}");
  auto fields = value::object();
  fields["caller"] = value::string(caller);
  fields["reason"] = value::string(rejection.reason);
  logging::WriteLogLine("bad_input", std::move(fields));
  return MakeProblemResponse(
      {rejection.status, Outcome::kNotRun, rejection.reason, {}}, {""});
}

edge::Handlers MakeEdgeHandlers(Daemon& daemon) {
  edge::Handlers handlers;
  handlers.on_request = [&daemon](
                            std::shared_ptr<edge::Exchange> caller_exchange,
                            edge::HttpRequest request) {
    if (IsFleetPath(request))
      OnFleetRequest(daemon, caller_exchange, request);
    else
      OnRequest(daemon, std::move(caller_exchange), std::move(request));
  };
  handlers.on_caller_disconnected =
      [&daemon](const std::shared_ptr<edge::Exchange>& caller_exchange) {
        OnCallerDisconnected(daemon, caller_exchange);
      };
  handlers.on_rejected = [&daemon](const std::string& caller,
                                   const edge::Rejection& rejection) {
    return MakeRejectionResponse(daemon, caller, rejection);
  };
  return handlers;
}

edge::Handlers MakeAdminHandlers(Daemon& daemon) {
  edge::Handlers handlers;
  handlers.on_request =
      [&daemon](const std::shared_ptr<edge::Exchange>& caller_exchange,
                const edge::HttpRequest& request) {
        OnAdminRequest(daemon, caller_exchange, request);
      };
  handlers.on_caller_disconnected = [](const std::shared_ptr<edge::Exchange>&) {
  };
  handlers.on_rejected = [&daemon](const std::string& caller,
                                   const edge::Rejection& rejection) {
    return MakeRejectionResponse(daemon, caller, rejection);
  };
  return handlers;
}

base::Result<void> OpenSockets(Daemon& daemon) {
  const settings::Settings& settings = daemon.settings;
  const edge::Limits limits = MakeEdgeLimits(settings);
  daemon.edge_server = std::make_shared<edge::Server>(daemon.loop, limits,
                                                      MakeEdgeHandlers(daemon));
  BOOST_OUTCOME_TRY(edge_address,
                    daemon.edge_server->Listen(settings.edge_address));
  daemon.edge_address = edge_address;
  daemon.admin_server = std::make_shared<edge::Server>(
      daemon.loop, limits, MakeAdminHandlers(daemon));
  BOOST_OUTCOME_TRY(admin_address,
                    daemon.admin_server->Listen(settings.admin_address));
  daemon.admin_address = admin_address;
  auto transport =
      peer::TransportBuilder(daemon.loop)
          .SetAddress(settings.peer_address)
          .SetIncarnation(daemon.incarnation)
          .SetDataCentre(daemon.data_centre)
          .SetClusterKey({settings.cluster_key})
          .SetMessageHandler([&daemon](const peer::Message& message) {
            OnPeerMessage(daemon, message);
          })
          .SetDropHandler([&daemon](const base::Error&) {
            metrics::IncrementCounter(daemon.metrics,
                                      "poplarfork_peer_dropped_total");
          })
          .Build();
  if (!transport.has_value())
    return transport.error();
  daemon.transport = std::move(transport.value());
  daemon.self = daemon.transport->self;
  return boost::outcome_v2::success();
}

void StartClaims(Daemon& daemon) {
  claim::MintSecret secret;
  randombytes_buf(secret.data(), secret.size());
  daemon.claims = claim::NewClaimState(daemon.self, daemon.incarnation, secret,
                                       clock::Now());
}

void StartStoreClient(Daemon& daemon) {
  store::ClientOptions options;
  options.address = daemon.settings.store_address;
  options.call_timeout =
      std::chrono::milliseconds(daemon.settings.store_timeout_ms);
  options.seed = daemon.rng();
  daemon.store_client = store::MakeClient(options);
}

void StartVmListClient(Daemon& daemon) {
  if (daemon.settings.vm_list_address.empty())
    return;
  vm_list::ClientOptions options;
  options.address = daemon.settings.vm_list_address;
  daemon.vm_list_client = vm_list::MakeClient(options);
}

void StartRelease(Daemon& daemon) {
  release::ReleaseSettings settings;
  settings.store_timeout =
      std::chrono::milliseconds(daemon.settings.store_timeout_ms);
  daemon.release = release::MakeReleaseState({daemon.self, daemon.data_centre},
                                             settings, clock::Now());
  HandleReleaseEvent(daemon, release::Started{});
}

void StartMembership(Daemon& daemon) {
  membership::LocalMember self;
  self.daemon = daemon.self;
  self.edge_address = daemon.edge_address;
  self.data_centre = daemon.data_centre;
  self.incarnation = daemon.incarnation;
  std::vector<base::DaemonId> seeds;
  for (const std::string& seed : daemon.settings.seeds) {
    if (seed != daemon.self.value)
      seeds.push_back({seed});
  }
  daemon.membership = membership::MakeMembership(
      std::move(self), std::move(seeds), clock::Now(), daemon.rng);
  daemon.live_daemons = {{daemon.self, daemon.data_centre}};
  ExecuteMembershipActions(daemon, {});
}

void LogStarted(const Daemon& daemon) {
  auto fields = value::object();
  fields["edge"] = value::string(daemon.edge_address);
  fields["admin"] = value::string(daemon.admin_address);
  fields["peer"] = value::string(daemon.self.value);
  fields["data_centre"] = value::string(daemon.data_centre.value);
  fields["incarnation"] = value::number(daemon.incarnation.value);
  logging::WriteLogLine("started", std::move(fields));
}

}  // namespace

base::Result<std::unique_ptr<Daemon>> StartDaemon(
    boost::asio::io_context& loop,
    const settings::Settings& settings) {
  auto daemon = std::make_unique<Daemon>(loop);
  daemon->settings = settings;
  daemon->data_centre = {settings.data_centre};
  daemon->incarnation = MakeIncarnation();
  SetPoolLimits(*daemon);
  daemon->drain.answer_lifetime =
      std::chrono::milliseconds(settings.address_lifetime_ms);
  daemon->drain.drain_limit =
      std::chrono::milliseconds(settings.drain_limit_ms);
  BOOST_OUTCOME_TRY(OpenSockets(*daemon));
  logging::StartLogging(daemon->self.value);
  SeedRng(*daemon);
  StartClaims(*daemon);
  StartStoreClient(*daemon);
  StartVmListClient(*daemon);
  StartMembership(*daemon);
  StartRelease(*daemon);
  StartTickTimer(*daemon);
  LogStarted(*daemon);
  return daemon;
}

}  // namespace poplarfork::daemon
