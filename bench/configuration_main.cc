#include <malloc.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <string>

#include "note/apply_note_func.h"
#include "note/configuration_type.h"
#include "routing/route_table_func.h"

namespace poplarfork::bench {

namespace {

struct ConfigurationSize {
  std::size_t service_count;
  std::size_t upstream_count;
  std::size_t route_count;
  std::size_t account_count;
};

// The last row is the size given in docs/CAPACITY.md. The smaller ones show how
// memory and time grow with the size.
constexpr ConfigurationSize kSizes[] = {
    {25, 680, 800, 5'100},
    {250, 6'800, 8'000, 51'000},
    {2'500, 68'000, 80'000, 510'000},
};

void AddUpstreams(note::Configuration& configuration,
                  const ConfigurationSize& size) {
  for (std::size_t i = 0; i < size.upstream_count; ++i) {
    const base::ServiceId service{"service-" +
                                  std::to_string(i % size.service_count)};
    note::Upstream upstream;
    upstream.id = {"upstream-" + std::to_string(i)};
    upstream.address = "10.0.0.1:" + std::to_string(i % 60'000);
    upstream.data_centre = {"dc-" + std::to_string(i % 14)};
    upstream.slots = 3;
    note::Service& entry = configuration.services[service];
    entry.id = service;
    entry.upstreams[upstream.id] = upstream;
  }
}

note::Configuration MakeConfiguration(const ConfigurationSize& size) {
  note::Configuration configuration;
  AddUpstreams(configuration, size);
  for (std::size_t i = 0; i < size.route_count; ++i) {
    note::Route route;
    const std::string service = std::to_string(i % size.service_count);
    route.key.host = "host-" + service + ".example";
    route.key.path_prefix = "/path-" + std::to_string(i);
    route.service = {"service-" + service};
    configuration.routes[route.key] = route;
  }
  for (std::size_t i = 0; i < size.account_count; ++i) {
    const base::AccountId id{"account-" + std::to_string(i)};
    configuration.accounts[id] = {id, 100, 200};
  }
  return configuration;
}

note::ReleaseNote MakeNote() {
  note::ReleaseNote note;
  note.id = {"note"};
  note.author = "bench";
  note.title = "one upstream";
  note::UpstreamOfService added;
  added.service = {"service-0"};
  added.upstream.id = {"added"};
  added.upstream.address = "10.0.0.2:80";
  added.upstream.data_centre = {"dc-1"};
  note.added_upstreams.push_back(added);
  return note;
}

template <class Operation>
double MeasureMilliseconds(Operation operation) {
  const auto start = std::chrono::steady_clock::now();
  operation();
  const std::chrono::duration<double, std::milli> elapsed =
      std::chrono::steady_clock::now() - start;
  return elapsed.count();
}

double AllocatedHeapMegabytes() {
  constexpr double kMegabyte = 1e6;
  return static_cast<double>(mallinfo2().uordblks) / kMegabyte;
}

void MeasureAndPrint(const ConfigurationSize& size) {
  const double heap_before_mb = AllocatedHeapMegabytes();
  note::Configuration configuration = MakeConfiguration(size);
  const double configuration_mb = AllocatedHeapMegabytes() - heap_before_mb;
  const note::ReleaseNote note = MakeNote();
  const double check_ms =
      MeasureMilliseconds([&] { (void)note::CheckNote(configuration, note); });
  const double apply_ms = MeasureMilliseconds([&] {
    (void)note::ApplyNote(configuration, note, note::ApplyMode::kApply);
  });
  const double copy_ms = MeasureMilliseconds([&] {
    const note::Configuration copied(configuration);
    (void)copied;
  });
  routing::RouteTable table;
  const double heap_before_table_mb = AllocatedHeapMegabytes();
  const double build_ms = MeasureMilliseconds(
      [&] { table = routing::BuildRouteTable(configuration); });
  std::printf(
      "%zu upstreams, %zu routes, %zu accounts: configuration %.1f MB, route "
      "table %.1f MB, check note %.3f ms, apply note %.3f ms, copy "
      "configuration %.1f ms, build route table %.1f ms\n",
      size.upstream_count, size.route_count, size.account_count,
      configuration_mb, AllocatedHeapMegabytes() - heap_before_table_mb,
      check_ms, apply_ms, copy_ms, build_ms);
}

}  // namespace

}  // namespace poplarfork::bench

// Prints the heap memory of a configuration and the time of the operations on
// it, at three sizes.
int main() {
  for (const auto& size : poplarfork::bench::kSizes)
    poplarfork::bench::MeasureAndPrint(size);
  return 0;
}
