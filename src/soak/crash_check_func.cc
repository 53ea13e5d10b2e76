#include "soak/crash_check_func.h"

#include <algorithm>
#include <string>

#include "base/rng_func.h"
#include "clock/now_func.h"
#include "soak/caller_func.h"
#include "soak/fleet_func.h"
#include "standin/platform_store_func.h"
#include "standin/platform_upstream_func.h"

namespace poplarfork::soak {

namespace {

using std::chrono::milliseconds;

constexpr base::Duration kSendInterval = milliseconds(1000);
constexpr base::Duration kDownTime = milliseconds(3000);
constexpr base::Duration kEntryLifetime = milliseconds(4500);
constexpr int kMaxLateSends = 3;
constexpr const char* kCrashPath = "/look/crash";

void OnCrash(Fleet& fleet, standin::PlatformUpstream& upstream) {
  const std::string old_id = upstream.instance_id;
  WriteRecord(fleet, old_id + " crashes");
  fleet.crashes.crashed_at.push_back(clock::Now());
  RunAfter(fleet, kDownTime, [&fleet, &upstream] {
    standin::RestartPlatformUpstream(
        upstream, "r" + std::to_string(fleet.crashes.restarts++));
    WriteEntry(fleet, upstream);
    // After its next crash, its address takes connections and answers none, or
    // refuses them.
    upstream.is_silent_after_crash = base::UniformBelow(fleet.rng, 3) == 0;
  });
  RunAfter(fleet, kEntryLifetime, [&fleet, old_id] {
    standin::RemovePlatformItem(*fleet.store, "servers/" + old_id);
  });
}

bool IsUndisturbed(const Fleet& fleet,
                   std::uint32_t gateway,
                   base::TimePoint now) {
  const GatewayProcess& process = fleet.gateways[gateway];
  return process.pid != 0 && !process.is_paused && !process.is_terminating &&
         now >= fleet.check.gateways[gateway].disturbed_until + kExcuseTime;
}

void SendCrashingRequest(Fleet& fleet) {
  const auto gateway = static_cast<std::uint32_t>(
      base::UniformBelow(fleet.rng, fleet.gateways.size()));
  const base::TimePoint now = clock::Now();
  const auto& crashed_at = fleet.crashes.crashed_at;
  const bool is_late = crashed_at.size() >= 3 &&
                       now > crashed_at[2] + kExcuseTime &&
                       IsUndisturbed(fleet, gateway, now);
  if (fleet.gateways[gateway].pid != 0) {
    const std::string query = "?page=" + std::to_string(fleet.next_request);
    const std::string id = SendLookUp(fleet, gateway, kCrashPath + query);
    if (is_late)
      fleet.crashes.late_ids.push_back(id);
  }
  RunAfter(fleet, kSendInterval, [&fleet] { SendCrashingRequest(fleet); });
}

bool HasRun(const Fleet& fleet, const std::string& id) {
  return std::any_of(fleet.upstreams.begin(), fleet.upstreams.end(),
                     [&id](const auto& upstream) {
                       return upstream->run_counts.contains(id);
                     });
}

}  // namespace

void StartCrashingRequests(Fleet& fleet) {
  for (const auto& upstream : fleet.upstreams) {
    upstream->crash_path = kCrashPath;
    upstream->on_crash = [&fleet](standin::PlatformUpstream& crashed) {
      OnCrash(fleet, crashed);
    };
  }
  SendCrashingRequest(fleet);
}

void CheckCrashes(Fleet& fleet) {
  const auto late = std::count_if(
      fleet.crashes.late_ids.begin(), fleet.crashes.late_ids.end(),
      [&fleet](const auto& id) { return HasRun(fleet, id); });
  WriteRecord(fleet, std::to_string(fleet.crashes.crashed_at.size()) +
                         " crashes; " + std::to_string(late) +
                         " late sendings reached upstreams");
  if (late > kMaxLateSends)
    fleet.violations.push_back(
        "a request that crashes upstreams reached them in " +
        std::to_string(late) + " late sendings, " +
        std::to_string(kMaxLateSends) + " allowed");
}

}  // namespace poplarfork::soak
