#include "replay/workload_func.h"

#include <array>
#include <cstdio>

namespace poplarfork::replay {

namespace {

constexpr std::uint32_t kDataCentreCount = 3;
// The users of both deployments wait about this long. A longer deadline would
// only delay the baselines, which detect a hang when the deadline passes.
constexpr base::Duration kRequestDeadline = std::chrono::seconds(2);

// The size of a deployment.
struct WorkloadSize {
  const char* name;
  note::DetectionPolicy detection;
  std::uint32_t upstream_count;
  std::uint32_t slots_per_upstream;
  std::uint32_t daemon_count;
  base::Duration typical_latency;
};

std::string FormatNumberedName(const char* prefix, std::uint32_t number) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%s%02u", prefix, number);
  return text.data();
}

base::DataCentreId MakeDataCentreId(std::uint32_t number) {
  return {"dc" + std::to_string(number % kDataCentreCount)};
}

Workload MakeWorkload(const WorkloadSize& size, double requests_per_second) {
  Workload workload;
  workload.name = size.name;
  workload.requests_per_second = requests_per_second;
  workload.typical_latency = size.typical_latency;
  workload.deadline = kRequestDeadline;
  workload.service.id = {size.name};
  workload.service.policy.detection = size.detection;
  workload.service.policy.deadline = kRequestDeadline;
  for (std::uint32_t i = 0; i < size.upstream_count; ++i) {
    note::Upstream upstream;
    upstream.id = {FormatNumberedName("u", i)};
    upstream.address = "127.0.1." + std::to_string(i + 1) + ":80";
    upstream.data_centre = MakeDataCentreId(i);
    upstream.slots = size.slots_per_upstream;
    workload.service.upstreams[upstream.id] = upstream;
  }
  for (std::uint32_t i = 0; i < size.daemon_count; ++i)
    workload.daemons.push_back(
        {{FormatNumberedName("d", i)}, MakeDataCentreId(i)});
  return workload;
}

}  // namespace

Workload MakeSnorfiksWorkload(double requests_per_second) {
  return MakeWorkload(
      {"snorfiks-booking", note::DetectionPolicy::kFastDetection, 30, 3, 40,
       std::chrono::milliseconds(40)},
      requests_per_second);
}

Workload MakeKristalniWorkload(double requests_per_second) {
  return MakeWorkload(
      {"kristalni-catalogue", note::DetectionPolicy::kSureEjection, 25, 6, 36,
       std::chrono::milliseconds(30)},
      requests_per_second);
}

}  // namespace poplarfork::replay
