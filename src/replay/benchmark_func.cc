#include "replay/benchmark_func.h"

#include <chrono>
#include <ostream>

#include "health/floor_func.h"
#include "health/return_func.h"
#include "health/service_health_func.h"

namespace poplarfork::replay {

namespace {

constexpr std::uint32_t kDataCentres = 14;
// One upstream in this many is avoided, so that the benchmark also covers the
// cost of limited upstreams.
constexpr std::uint32_t kAvoidedOneIn = 50;
constexpr base::TimePoint kStart{std::chrono::seconds(1000)};

note::Service ServiceOf(std::uint32_t upstreams) {
  note::Service service;
  service.id = {"benchmark"};
  for (std::uint32_t i = 0; i < upstreams; ++i) {
    note::Upstream upstream;
    upstream.id = {"u" + std::to_string(i)};
    upstream.data_centre = {"dc" + std::to_string(i % kDataCentres)};
    upstream.slots = 3;
    service.upstreams[upstream.id] = upstream;
  }
  return service;
}

template <class Work>
double MicrosecondsEach(std::uint32_t rounds, Work work) {
  const auto begin = std::chrono::steady_clock::now();
  for (std::uint32_t i = 0; i < rounds; ++i)
    work(i);
  const std::chrono::duration<double, std::micro> time =
      std::chrono::steady_clock::now() - begin;
  return time.count() / rounds;
}

// Measures at one size and prints one line.
void Measure(std::uint32_t upstreams, std::uint32_t rounds, std::ostream& out) {
  base::Rng rng(1);
  health::ServiceHealth health = health::BuildServiceHealth(
      ServiceOf(upstreams), {{"d0"}, {"dc0"}}, kStart);
  health::Actions actions;
  for (std::uint32_t i = 0; i < upstreams; i += kAvoidedOneIn) {
    health.upstreams[i].phase = health::Phase::kAvoided;
    health.upstreams[i].hold_down_until = kStart + std::chrono::hours(1);
    health.upstreams[i].suspicion = i;
    health::AddRecovering(health, i);
  }
  std::size_t routable = 0;
  const double view_us = MicrosecondsEach(rounds, [&](std::uint32_t) {
    routable +=
        health::RoutableUpstreams(health::BuildRoutingView(health, kStart))
            .size();
  });
  base::TimePoint now = kStart;
  std::uint64_t request = 0;
  const double event_us = MicrosecondsEach(200000, [&](std::uint32_t i) {
    now += base::Duration(100);
    const base::UpstreamId& id = health.upstreams[i * 7919 % upstreams].id;
    const base::Duration latency = std::chrono::microseconds(9000 + i % 2000);
    health::HandleEvent(
        health, health::RequestStarted{++request, id, request, true}, now, rng);
    health::HandleEvent(
        health,
        health::RequestFinished{request, id, health::RequestOutcome::kSuccess,
                                latency, true, request},
        now, rng);
  });
  const double tick_us = MicrosecondsEach(200, [&](std::uint32_t) {
    now += std::chrono::milliseconds(100);
    health::HandleEvent(health, health::Tick{}, now, rng);
  });
  out << upstreams << " upstreams: RoutableUpstreams with view " << view_us
      << " us, request started and finished " << event_us << " us, tick "
      << tick_us << " us (" << routable / rounds << " routable)\n";
}

}  // namespace

void RunBenchmark(std::ostream& out) {
  Measure(30, 100000, out);
  Measure(68000, 100, out);
}

}  // namespace poplarfork::replay
