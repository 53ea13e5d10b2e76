#include "replay/workload_func.h"

#include <array>
#include <cstdio>

namespace poplarfork::replay {

namespace {

constexpr std::uint32_t kDataCentres = 3;
// The users of both deployments wait about this long. A longer deadline would
// only delay the baselines, which detect a hang when the deadline passes.
constexpr base::Duration kDeadline = std::chrono::seconds(2);

// The size of a deployment.
struct Size {
  const char* name;
  note::DetectionPolicy detection;
  std::uint32_t upstreams;
  std::uint32_t slots;
  std::uint32_t daemons;
  base::Duration usual_latency;
};

std::string Numbered(const char* prefix, std::uint32_t number) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%s%02u", prefix, number);
  return text.data();
}

base::DataCentreId DataCentreOf(std::uint32_t number) {
  return {"dc" + std::to_string(number % kDataCentres)};
}

Workload Build(const Size& size, double rate) {
  Workload workload;
  workload.name = size.name;
  workload.rate = rate;
  workload.usual_latency = size.usual_latency;
  workload.deadline = kDeadline;
  workload.service.id = {size.name};
  workload.service.policy.detection = size.detection;
  workload.service.policy.deadline = kDeadline;
  for (std::uint32_t i = 0; i < size.upstreams; ++i) {
    note::Upstream upstream;
    upstream.id = {Numbered("u", i)};
    upstream.address = "127.0.1." + std::to_string(i + 1) + ":80";
    upstream.data_centre = DataCentreOf(i);
    upstream.slots = size.slots;
    workload.service.upstreams[upstream.id] = upstream;
  }
  for (std::uint32_t i = 0; i < size.daemons; ++i)
    workload.daemons.push_back({{Numbered("d", i)}, DataCentreOf(i)});
  return workload;
}

}  // namespace

Workload SnorfiksWorkload(double rate) {
  return Build({"snorfiks-booking", note::DetectionPolicy::kDetectionFast, 30,
                3, 40, std::chrono::milliseconds(40)},
               rate);
}

Workload KristalniWorkload(double rate) {
  return Build({"kristalni-catalogue", note::DetectionPolicy::kEjectionSure, 25,
                6, 36, std::chrono::milliseconds(30)},
               rate);
}

}  // namespace poplarfork::replay
