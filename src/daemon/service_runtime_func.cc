#include "daemon/service_runtime_func.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "health/floor_func.h"
#include "load/concurrency_limit_func.h"
#include "routing/subset_func.h"

namespace poplarfork::daemon {

namespace {

// The smallest maximum of an adaptive concurrency limit. An upstream outside
// the subset has a connection quota of 0, but its limit is kept with this
// maximum, so that the upstream can enter the subset at any time.
constexpr std::uint32_t kMinConcurrency = 1;

std::vector<base::DaemonId> GetMemberIds(
    const std::vector<routing::GroupMember>& group) {
  std::vector<base::DaemonId> ids;
  ids.reserve(group.size());
  for (const routing::GroupMember& member : group)
    ids.push_back(member.id);
  return ids;
}

std::vector<health::GroupMember> ToHealthGroup(
    const std::vector<routing::GroupMember>& group) {
  std::vector<health::GroupMember> members;
  members.reserve(group.size());
  for (const routing::GroupMember& member : group)
    members.push_back({member.id, member.data_centre});
  return members;
}

std::unordered_map<base::UpstreamId, std::uint32_t> ComputeConnectionQuotas(
    const ServiceRuntime& runtime,
    const note::Service& service) {
  std::unordered_map<base::UpstreamId, std::uint32_t> quotas;
  for (const routing::SubsetEntry& entry : routing::ChooseSubset(
           runtime.health.self.daemon, GetMemberIds(runtime.group), service))
    quotas[entry.upstream] = entry.connections;
  return quotas;
}

// Rebuilds `upstreams` and `candidates` in the order of the health state's
// upstreams and keeps the state of upstreams that were there before.
void AlignUpstreams(ServiceRuntime& runtime,
                    const note::Service& service,
                    base::TimePoint now) {
  std::unordered_map<base::UpstreamId, std::size_t> previous_indices;
  for (std::size_t i = 0; i < runtime.upstreams.size(); ++i)
    previous_indices[runtime.upstreams[i].id] = i;
  const auto quotas = ComputeConnectionQuotas(runtime, service);
  std::vector<UpstreamRuntime> upstreams;
  std::vector<routing::Candidate> candidates;
  for (const health::UpstreamState& state : runtime.health.upstreams) {
    const note::Upstream& configured = service.upstreams.at(state.id);
    const auto found_quota = quotas.find(state.id);
    const std::uint32_t quota =
        found_quota == quotas.end() ? 0 : found_quota->second;
    const std::uint32_t max_concurrency = std::max(quota, kMinConcurrency);
    UpstreamRuntime entry{state.id, configured.address, quota,
                          load::NewConcurrencyLimit(max_concurrency, now)};
    routing::Candidate candidate;
    const auto found_previous = previous_indices.find(state.id);
    if (found_previous != previous_indices.end()) {
      entry.concurrency_limit =
          runtime.upstreams[found_previous->second].concurrency_limit;
      load::SetConcurrencyMax(entry.concurrency_limit, max_concurrency);
      candidate = runtime.candidates[found_previous->second];
    }
    candidate.slots = configured.slots;
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
      runtime.health, health::GroupChanged{ToHealthGroup(group)}, now, rng);
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
    const std::uint32_t adaptive_limit =
        load::CurrentLimit(entry.concurrency_limit);
    candidate.limit = std::min(entry.connection_quota, adaptive_limit);
    if (routable.one_at_a_time)
      candidate.limit = std::min<std::uint32_t>(candidate.limit, 1);
    candidate.weight = routable.weight;
  }
  runtime.seen_view_version = runtime.health.view_version;
}

std::optional<std::uint32_t> FindUpstreamIndex(
    const ServiceRuntime& runtime,
    const base::UpstreamId& upstream) {
  const auto found = runtime.health.index_by_id.find(upstream);
  if (found == runtime.health.index_by_id.end())
    return std::nullopt;
  return found->second;
}

}  // namespace poplarfork::daemon
