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

struct Size {
  std::size_t services;
  std::size_t upstreams;
  std::size_t routes;
  std::size_t accounts;
};

// The last row is the size given in docs/CAPACITY.md. The smaller ones show how
// memory and time grow with the size.
constexpr Size kSizes[] = {
    {25, 680, 800, 5'100},
    {250, 6'800, 8'000, 51'000},
    {2'500, 68'000, 80'000, 510'000},
};

void AddUpstreams(note::Configuration& configuration, const Size& size) {
  for (std::size_t i = 0; i < size.upstreams; ++i) {
    const base::ServiceId service{"service-" +
                                  std::to_string(i % size.services)};
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

note::Configuration MakeConfiguration(const Size& size) {
  note::Configuration configuration;
  AddUpstreams(configuration, size);
  for (std::size_t i = 0; i < size.routes; ++i) {
    note::Route route;
    const std::string service = std::to_string(i % size.services);
    route.key.host = "host-" + service + ".example";
    route.key.path_prefix = "/path-" + std::to_string(i);
    route.service = {"service-" + service};
    configuration.routes[route.key] = route;
  }
  for (std::size_t i = 0; i < size.accounts; ++i) {
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

template <class Work>
double Milliseconds(Work work) {
  const auto start = std::chrono::steady_clock::now();
  work();
  const std::chrono::duration<double, std::milli> spent =
      std::chrono::steady_clock::now() - start;
  return spent.count();
}

double HeapMegabytes() {
  constexpr double kMegabyte = 1e6;
  return static_cast<double>(mallinfo2().uordblks) / kMegabyte;
}

void Measure(const Size& size) {
  const double before = HeapMegabytes();
  note::Configuration configuration = MakeConfiguration(size);
  const double state = HeapMegabytes() - before;
  const note::ReleaseNote note = MakeNote();
  const double test =
      Milliseconds([&] { (void)note::TestNote(configuration, note); });
  const double run = Milliseconds([&] {
    (void)note::RunNote(configuration, note, note::ApplyMode::kApply);
  });
  const double copy = Milliseconds([&] {
    const note::Configuration copied(configuration);
    (void)copied;
  });
  routing::RouteTable table;
  const double before_table = HeapMegabytes();
  const double build =
      Milliseconds([&] { table = routing::BuildRouteTable(configuration); });
  std::printf(
      "%zu upstreams, %zu routes, %zu accounts: configuration %.1f MB, route "
      "table %.1f MB, check note %.3f ms, apply note %.3f ms, copy "
      "configuration %.1f ms, build route table %.1f ms\n",
      size.upstreams, size.routes, size.accounts, state,
      HeapMegabytes() - before_table, test, run, copy, build);
}

}  // namespace

}  // namespace poplarfork::bench

// Prints the heap memory of a configuration and the time of the operations on
// it, at three sizes.
int main() {
  for (const auto& size : poplarfork::bench::kSizes)
    poplarfork::bench::Measure(size);
  return 0;
}
