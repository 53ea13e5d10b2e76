#include "daemon/configuration_func.h"

#include <utility>

#include "clock/now_func.h"
#include "daemon/health_func.h"
#include "daemon/service_runtime_func.h"
#include "logging/log_func.h"
#include "metrics/registry_func.h"
#include "routing/route_table_func.h"
#include "routing/service_group_func.h"

namespace poplarfork::daemon {

namespace {

using web::json::value;

void LogRevisionInForce(const Daemon& daemon) {
  const note::Configuration& configuration = *daemon.configuration;
  auto fields = value::object();
  fields["revision"] = value::number(configuration.revision.value);
  fields["hash"] = value::string(configuration.hash);
  fields["services"] = value::number(configuration.services.size());
  fields["services_here"] = value::number(daemon.services.size());
  logging::WriteLogLine("revision_in_force", std::move(fields));
}

// Removes the services that have been withdrawn or whose group no longer
// contains this daemon.
void RemoveUnservedServices(Daemon& daemon) {
  std::erase_if(daemon.services, [&daemon](const auto& item) {
    const auto& services = daemon.configuration->services;
    const auto found = services.find(item.first);
    if (found == services.end())
      return true;
    return !routing::IsInGroup(
        routing::ServiceGroup(item.first, daemon.live_daemons), daemon.self);
  });
}

void AddOrUpdateService(Daemon& daemon, const note::Service& service) {
  const auto group = routing::ServiceGroup(service.id, daemon.live_daemons);
  if (!routing::IsInGroup(group, daemon.self))
    return;
  const base::TimePoint now = clock::Now();
  const auto found = daemon.services.find(service.id);
  if (found == daemon.services.end()) {
    const health::GroupMember self{daemon.self, daemon.data_centre};
    ServiceRuntime& new_runtime =
        daemon.services
            .emplace(service.id, MakeServiceRuntime(service, group, self, now))
            .first->second;
    ExecuteHealthActions(
        daemon, new_runtime,
        UpdateGroup(new_runtime, service, group, now, daemon.rng));
    return;
  }
  ServiceRuntime& runtime = found->second;
  ExecuteHealthActions(daemon, runtime,
                       UpdateService(runtime, service, now, daemon.rng));
  ExecuteHealthActions(daemon, runtime,
                       UpdateGroup(runtime, service, group, now, daemon.rng));
}

}  // namespace

void UpdateServiceGroups(Daemon& daemon) {
  if (!daemon.configuration)
    return;
  RemoveUnservedServices(daemon);
  for (const auto& [id, service] : daemon.configuration->services)
    AddOrUpdateService(daemon, service);
}

void ApplyConfiguration(
    Daemon& daemon,
    std::shared_ptr<const note::Configuration> configuration) {
  daemon.configuration = std::move(configuration);
  daemon.route_table = routing::BuildRouteTable(*daemon.configuration);
  UpdateServiceGroups(daemon);
  metrics::SetGauge(daemon.metrics, "poplarfork_revision",
                    static_cast<double>(daemon.configuration->revision.value));
  LogRevisionInForce(daemon);
}

}  // namespace poplarfork::daemon
