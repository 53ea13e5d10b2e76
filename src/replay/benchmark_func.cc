#include "replay/benchmark_func.h"

#include <chrono>
#include <ostream>

#include "health/floor_func.h"
#include "health/recovery_func.h"
#include "health/service_health_func.h"

namespace poplarfork::replay {

namespace {

constexpr std::uint32_t kDataCentreCount = 14;
// One upstream in this many is avoided, so that the benchmark also covers the
// cost of limited upstreams.
constexpr std::uint32_t kUpstreamsPerAvoided = 50;
constexpr base::TimePoint kStartTime{std::chrono::seconds(1000)};

note::Service MakeService(std::uint32_t upstream_count) {
  note::Service service;
  service.id = {"benchmark"};
  for (std::uint32_t i = 0; i < upstream_count; ++i) {
    note::Upstream upstream;
    upstream.id = {"u" + std::to_string(i)};
    upstream.data_centre = {"dc" + std::to_string(i % kDataCentreCount)};
    upstream.slots = 3;
    service.upstreams[upstream.id] = upstream;
  }
  return service;
}

template <class Operation>
double MeasureMeanMicroseconds(std::uint32_t iterations, Operation operation) {
  const auto start = std::chrono::steady_clock::now();
  for (std::uint32_t i = 0; i < iterations; ++i)
    operation(i);
  const std::chrono::duration<double, std::micro> elapsed =
      std::chrono::steady_clock::now() - start;
  return elapsed.count() / iterations;
}

// Measures at one size and prints one line.
void MeasureAndPrint(std::uint32_t upstream_count,
                     std::uint32_t iterations,
                     std::ostream& out) {
  base::Rng rng(1);
  health::ServiceHealth health = health::BuildServiceHealth(
      MakeService(upstream_count), {{"d0"}, {"dc0"}}, kStartTime);
  health::Actions actions;
  for (std::uint32_t i = 0; i < upstream_count; i += kUpstreamsPerAvoided) {
    health.upstreams[i].phase = health::Phase::kAvoided;
    health.upstreams[i].hold_down_until = kStartTime + std::chrono::hours(1);
    health.upstreams[i].suspicion = i;
    health::AddRecovering(health, i);
  }
  std::size_t routable_count = 0;
  const double routing_us =
      MeasureMeanMicroseconds(iterations, [&](std::uint32_t) {
        routable_count += health::RoutableUpstreams(
                              health::BuildRoutingView(health, kStartTime))
                              .size();
      });
  base::TimePoint now = kStartTime;
  std::uint64_t request_number = 0;
  const double request_us =
      MeasureMeanMicroseconds(200000, [&](std::uint32_t i) {
        now += base::Duration(100);
        const base::UpstreamId& id =
            health.upstreams[i * 7919 % upstream_count].id;
        const base::Duration latency =
            std::chrono::microseconds(9000 + i % 2000);
        health::HandleEvent(
            health,
            health::RequestStarted{++request_number, id, request_number, true},
            now, rng);
        health::HandleEvent(
            health,
            health::RequestFinished{request_number, id,
                                    health::RequestOutcome::kSuccess, latency,
                                    true, request_number},
            now, rng);
      });
  const double tick_us = MeasureMeanMicroseconds(200, [&](std::uint32_t) {
    now += std::chrono::milliseconds(100);
    health::HandleEvent(health, health::Tick{}, now, rng);
  });
  out << upstream_count << " upstreams: RoutableUpstreams with view "
      << routing_us << " us, request started and finished " << request_us
      << " us, tick " << tick_us << " us (" << routable_count / iterations
      << " routable)\n";
}

}  // namespace

void RunBenchmark(std::ostream& out) {
  MeasureAndPrint(30, 100000, out);
  MeasureAndPrint(68000, 100, out);
}

}  // namespace poplarfork::replay
