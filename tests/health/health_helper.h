#pragma once

#include <string>
#include <vector>

#include "base/rng_type.h"
#include "health/floor_func.h"
#include "health/service_health_func.h"

namespace poplarfork::health {

constexpr base::Duration kTypicalLatency = std::chrono::milliseconds(20);
constexpr base::Duration kTickInterval = std::chrono::milliseconds(100);

inline base::UpstreamId MakeUpstreamId(std::uint32_t number) {
  return {"u" + std::to_string(number)};
}

inline GroupMember MakeMember(std::uint32_t number,
                              std::uint32_t data_centres) {
  return {{"d" + std::to_string(number)},
          {"dc" + std::to_string(number % data_centres)}};
}

inline note::Service MakeService(std::uint32_t upstreams,
                                 std::uint32_t data_centres,
                                 double floor) {
  note::Service service;
  service.id = {"booking"};
  service.policy.detection = note::DetectionPolicy::kFastDetection;
  service.policy.floor = floor;
  for (std::uint32_t i = 0; i < upstreams; ++i) {
    note::Upstream upstream;
    upstream.id = MakeUpstreamId(i);
    upstream.data_centre = {"dc" + std::to_string(i % data_centres)};
    service.upstreams[upstream.id] = upstream;
  }
  return service;
}

// A daemon with a clock that the test advances.
struct TestDaemon {
  base::TimePoint now{std::chrono::seconds(1000)};
  ServiceHealth health;
  base::Rng rng{7};
  std::uint64_t next_request = 1;
  Actions actions;

  explicit TestDaemon(const note::Service& service,
                      const GroupMember& self = MakeMember(0, 1))
      : health(BuildServiceHealth(service, self, this->now)) {}

  Actions DeliverEvent(const Event& event) {
    Actions new_actions =
        HandleEvent(this->health, event, this->now, this->rng);
    this->actions.insert(this->actions.end(), new_actions.begin(),
                         new_actions.end());
    return new_actions;
  }

  // Advances the time and delivers ticks that are on time.
  void AdvanceTime(base::Duration time) {
    for (base::Duration passed{}; passed < time; passed += kTickInterval) {
      this->now += kTickInterval;
      this->DeliverEvent(Tick{});
    }
  }

  // Starts a request and returns its number.
  std::uint64_t StartRequest(std::uint32_t upstream,
                             bool reused,
                             Fingerprint fingerprint = 0) {
    this->DeliverEvent(RequestStarted{
        this->next_request, MakeUpstreamId(upstream), fingerprint, reused});
    return this->next_request++;
  }

  // Sends a request that ends `latency` later.
  Actions SendRequest(std::uint32_t upstream,
                      RequestOutcome outcome,
                      base::Duration latency = kTypicalLatency,
                      bool reused = false,
                      Fingerprint fingerprint = 0) {
    const std::uint64_t request =
        this->StartRequest(upstream, reused, fingerprint);
    this->now += latency;
    return this->DeliverEvent(RequestFinished{request, MakeUpstreamId(upstream),
                                              outcome, latency, reused,
                                              fingerprint});
  }

  // Sends successful requests to all upstreams, so that the typical latency is
  // known.
  void WarmUp() {
    for (int round = 0; round < 20; ++round) {
      for (std::uint32_t i = 0; i < this->health.upstreams.size(); ++i)
        this->SendRequest(i, RequestOutcome::kSuccess);
      this->AdvanceTime(kTickInterval);
    }
    this->actions.clear();
  }

  std::size_t CountActions(ActionKind kind) const {
    std::size_t count = 0;
    for (const Action& action : this->actions)
      count += action.kind == kind ? 1 : 0;
    return count;
  }

  bool HasAction(ActionKind kind, Reason reason, std::uint32_t upstream) const {
    for (const Action& action : this->actions) {
      if (action.kind == kind && action.reason == reason &&
          action.upstream == MakeUpstreamId(upstream))
        return true;
    }
    return false;
  }

  // Returns true if the upstream may receive new requests.
  bool IsRoutable(std::uint32_t upstream) const {
    const RoutingView view = BuildRoutingView(this->health, this->now);
    for (const RoutableUpstream& one : RoutableUpstreams(view)) {
      if (one.index == upstream)
        return true;
    }
    return false;
  }
};

// Counts the slots in service without using the code under test. Returns true
// if `routable` is below the floor for a reason other than drains, or contains
// a draining upstream.
inline bool ViolatesFloor(const ServiceHealth& health,
                          const std::vector<RoutableUpstream>& routable) {
  double listed = 0;
  double not_draining = 0;
  double remaining = 0;
  for (const UpstreamState& upstream : health.upstreams) {
    listed += upstream.slots;
    not_draining += upstream.draining ? 0 : upstream.slots;
  }
  for (const RoutableUpstream& one : routable) {
    const UpstreamState& upstream = health.upstreams[one.index];
    if (upstream.draining)
      return true;
    remaining += one.one_at_a_time ? 0 : upstream.slots * one.weight;
  }
  return remaining + 1e-9 < health.policy.floor * listed &&
         remaining + 1e-9 < not_draining;
}

inline bool ViolatesFloor(const ServiceHealth& health, base::TimePoint now) {
  return ViolatesFloor(health,
                       RoutableUpstreams(BuildRoutingView(health, now)));
}

}  // namespace poplarfork::health
