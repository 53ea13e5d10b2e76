#include "daemon/status_func.h"

#include <string>
#include <vector>

#include "daemon/member_name_func.h"
#include "daemon/shutdown_func.h"
#include "health/name_func.h"
#include "health/service_health_func.h"
#include "membership/membership_func.h"
#include "metrics/registry_func.h"
#include "note/parse_note_func.h"

namespace poplarfork::daemon {

namespace {

using web::json::value;

value DescribeMembers(const Daemon& daemon) {
  std::vector<value> members;
  for (const membership::LiveMember& member :
       membership::LiveMembers(daemon.membership)) {
    auto fields = value::object();
    fields["daemon"] = value::string(member.daemon.value);
    fields["edge"] = value::string(member.edge_address);
    fields["data_centre"] = value::string(member.data_centre.value);
    fields["state"] = value::string(MemberStateName(member.state));
    fields["load_percent"] = value::number(member.load);
    fields["revision"] = value::number(member.revision.value);
    members.push_back(std::move(fields));
  }
  return value::array(std::move(members));
}

value DescribeUpstreams(const ServiceRuntime& service) {
  std::vector<value> upstreams;
  for (std::size_t i = 0; i < service.health.upstreams.size(); ++i) {
    const health::UpstreamState& state = service.health.upstreams[i];
    auto fields = value::object();
    fields["upstream"] = value::string(state.id.value);
    fields["phase"] = value::string(std::string(health::ToName(state.phase)));
    fields["draining"] = value::boolean(state.draining);
    fields["ejected"] = value::boolean(state.ejection.active);
    fields["in_flight"] = value::number(service.candidates[i].in_flight);
    fields["limit"] = value::number(service.candidates[i].limit);
    upstreams.push_back(std::move(fields));
  }
  return value::array(std::move(upstreams));
}

value DescribeServices(const Daemon& daemon) {
  auto services = value::object();
  for (const auto& [id, service] : daemon.services) {
    auto fields = value::object();
    fields["group_size"] = value::number(service.group.size());
    fields["upstreams"] = DescribeUpstreams(service);
    services[id.value] = std::move(fields);
  }
  return services;
}

}  // namespace

value MakeStatusReport(const Daemon& daemon, base::TimePoint) {
  auto fields = value::object();
  fields["daemon"] = value::string(daemon.self.value);
  fields["edge"] = value::string(daemon.edge_address);
  fields["data_centre"] = value::string(daemon.data_centre.value);
  fields["ready"] = value::boolean(daemon.ready);
  fields["draining"] = value::boolean(IsDraining(daemon));
  fields["revision"] =
      value::number(daemon.release.install.configuration.revision.value);
  fields["hash"] = value::string(daemon.release.install.configuration.hash);
  fields["store_reachable"] = value::boolean(daemon.store_reachable);
  fields["requests_in_flight"] =
      value::number(daemon.requests_by_exchange.size());
  fields["members"] = DescribeMembers(daemon);
  fields["services"] = DescribeServices(daemon);
  return fields;
}

value MakeReleaseHistory(const Daemon& daemon) {
  std::vector<value> notes;
  for (const proto::LogEntry& entry : daemon.release.install.recent_entries) {
    auto fields = value::object();
    fields["revision"] = value::number(entry.revision());
    fields["note_id"] = value::string(entry.note_id());
    fields["author"] = value::string(entry.author());
    fields["published_unix_ms"] = value::number(entry.published_unix_ms());
    const auto note = note::ParseReleaseNote(entry.note_yaml(), "log");
    if (note.has_value())
      fields["title"] = value::string(note.value().title);
    notes.push_back(std::move(fields));
  }
  auto fields = value::object();
  fields["notes"] = value::array(std::move(notes));
  return fields;
}

void UpdateGauges(Daemon& daemon) {
  metrics::SetGauge(daemon.metrics, "poplarfork_requests_in_flight",
                    static_cast<double>(daemon.requests_by_exchange.size()));
  metrics::SetGauge(daemon.metrics, "poplarfork_caller_connections",
                    static_cast<double>(daemon.edge_server->ConnectionCount()));
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
  for (const peer::KindCounters& kind_counters :
       daemon.transport->counters.by_kind) {
    sent += kind_counters.sent_bytes;
    received += kind_counters.received_bytes;
  }
  metrics::SetGauge(daemon.metrics, "poplarfork_peer_sent_bytes",
                    static_cast<double>(sent));
  metrics::SetGauge(daemon.metrics, "poplarfork_peer_received_bytes",
                    static_cast<double>(received));
  metrics::SetGauge(daemon.metrics, "poplarfork_store_calls",
                    static_cast<double>(daemon.release.store_calls.sent_count));
}

}  // namespace poplarfork::daemon
