#include "daemon/service_runtime_func.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "health/floor_func.h"
#include "load/concurrency_limit_func.h"
#include "routing/subset_func.h"

namespace poplarfork::daemon {

namespace {

// The adaptive concurrency limit of an upstream outside the subset is kept for
// one connection, so that the upstream can enter the subset at any time.
constexpr std::uint32_t kMinimumConcurrency = 1;

std::vector<base::DaemonId> IdsOf(
    const std::vector<routing::GroupMember>& group) {
  std::vector<base::DaemonId> ids;
  ids.reserve(group.size());
  for (const routing::GroupMember& member : group)
    ids.push_back(member.id);
  return ids;
}

std::vector<health::GroupMember> HealthGroup(
    const std::vector<routing::GroupMember>& group) {
  std::vector<health::GroupMember> members;
  members.reserve(group.size());
  for (const routing::GroupMember& member : group)
    members.push_back({member.id, member.data_centre});
  return members;
}

std::unordered_map<base::UpstreamId, std::uint32_t> ConnectionsOf(
    const ServiceRuntime& runtime,
    const note::Service& service) {
  std::unordered_map<base::UpstreamId, std::uint32_t> connections;
  for (const routing::SubsetEntry& entry : routing::ChooseSubset(
           runtime.health.self.daemon, IdsOf(runtime.group), service))
    connections[entry.upstream] = entry.connections;
  return connections;
}

// Rebuilds `upstreams` and `candidates` in the order of the health state's
// upstreams and keeps the state of upstreams that were there before.
void AlignUpstreams(ServiceRuntime& runtime,
                    const note::Service& service,
                    base::TimePoint now) {
  std::unordered_map<base::UpstreamId, std::size_t> previous;
  for (std::size_t i = 0; i < runtime.upstreams.size(); ++i)
    previous[runtime.upstreams[i].id] = i;
  const auto connections = ConnectionsOf(runtime, service);
  std::vector<UpstreamRuntime> upstreams;
  std::vector<routing::Candidate> candidates;
  for (const health::UpstreamState& state : runtime.health.upstreams) {
    const note::Upstream& listed = service.upstreams.at(state.id);
    const auto allowed = connections.find(state.id);
    const std::uint32_t count =
        allowed == connections.end() ? 0 : allowed->second;
    const std::uint32_t most = std::max(count, kMinimumConcurrency);
    UpstreamRuntime entry{state.id, listed.address, count,
                          load::NewConcurrencyLimit(most, now)};
    routing::Candidate candidate;
    const auto old = previous.find(state.id);
    if (old != previous.end()) {
      entry.concurrency = runtime.upstreams[old->second].concurrency;
      load::SetConcurrencyMax(entry.concurrency, most);
      candidate = runtime.candidates[old->second];
    }
    candidate.slots = listed.slots;
    upstreams.push_back(std::move(entry));
    candidates.push_back(candidate);
  }
  runtime.upstreams = std::move(upstreams);
  runtime.candidates = std::move(candidates);
  RefreshCandidates(runtime, now);
}

}  // namespace

ServiceRuntime MakeServiceRuntime(
    const note::Service& service,
    const std::vector<routing::GroupMember>& group,
    const health::GroupMember& self,
    base::TimePoint now) {
  ServiceRuntime runtime;
  runtime.id = service.id;
  runtime.policy = service.policy;
  runtime.group = group;
  runtime.health = health::BuildServiceHealth(service, self, now);
  AlignUpstreams(runtime, service, now);
  return runtime;
}

health::Actions UpdateService(ServiceRuntime& runtime,
                              const note::Service& service,
                              base::TimePoint now,
                              base::Rng& rng) {
  runtime.policy = service.policy;
  auto actions = health::HandleEvent(runtime.health,
                                     health::ServiceChanged{service}, now, rng);
  AlignUpstreams(runtime, service, now);
  return actions;
}

health::Actions UpdateGroup(ServiceRuntime& runtime,
                            const note::Service& service,
                            const std::vector<routing::GroupMember>& group,
                            base::TimePoint now,
                            base::Rng& rng) {
  runtime.group = group;
  auto actions = health::HandleEvent(
      runtime.health, health::GroupChanged{HealthGroup(group)}, now, rng);
  AlignUpstreams(runtime, service, now);
  return actions;
}

void RefreshCandidates(ServiceRuntime& runtime, base::TimePoint now) {
  for (routing::Candidate& candidate : runtime.candidates)
    candidate.limit = 0;
  const health::RoutingView view =
      health::BuildRoutingView(runtime.health, now);
  for (const health::RoutableUpstream& routable :
       health::RoutableUpstreams(view)) {
    const UpstreamRuntime& entry = runtime.upstreams[routable.index];
    routing::Candidate& candidate = runtime.candidates[routable.index];
    const std::uint32_t adaptive = load::CurrentLimit(entry.concurrency);
    candidate.limit = std::min(entry.connections, adaptive);
    if (routable.one_at_a_time)
      candidate.limit = std::min<std::uint32_t>(candidate.limit, 1);
    candidate.weight = routable.weight;
  }
  runtime.seen_view_version = runtime.health.view_version;
}

std::optional<std::uint32_t> PositionOf(const ServiceRuntime& runtime,
                                        const base::UpstreamId& upstream) {
  const auto found = runtime.health.index_by_id.find(upstream);
  if (found == runtime.health.index_by_id.end())
    return std::nullopt;
  return found->second;
}

}  // namespace poplarfork::daemon
