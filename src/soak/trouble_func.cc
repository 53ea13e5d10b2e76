#include "soak/trouble_func.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <csignal>
#include <string>

#include "base/rng_func.h"
#include "base/time_func.h"
#include "clock/now_func.h"
#include "soak/configuration_check_func.h"
#include "soak/fleet_func.h"
#include "soak/gateway_process_func.h"
#include "soak/limit_check_func.h"
#include "standin/http_server_func.h"
#include "standin/platform_store_func.h"

namespace poplarfork::soak {

namespace {

using std::chrono::milliseconds;

base::Duration DrawDuration(Fleet& fleet,
                            milliseconds shortest,
                            milliseconds longest) {
  return shortest + base::Scale(longest - shortest, base::Uniform01(fleet.rng));
}

std::uint32_t DrawGateway(Fleet& fleet) {
  return static_cast<std::uint32_t>(
      base::UniformBelow(fleet.rng, fleet.gateways.size()));
}

bool IsDisturbable(const GatewayProcess& gateway) {
  return gateway.pid != 0 && !gateway.is_paused && !gateway.is_terminating;
}

void Kill(Fleet& fleet) {
  const std::uint32_t index = DrawGateway(fleet);
  GatewayProcess& gateway = fleet.gateways[index];
  if (!IsDisturbable(gateway))
    return;
  WriteRecord(fleet, "SIGKILL to " + gateway.name);
  RecordDisturbance(fleet.check, index, clock::Now());
  SignalProcess(gateway, SIGKILL);
}

void Terminate(Fleet& fleet) {
  const std::uint32_t index = DrawGateway(fleet);
  GatewayProcess& gateway = fleet.gateways[index];
  if (!IsDisturbable(gateway))
    return;
  WriteRecord(fleet, "SIGTERM to " + gateway.name);
  gateway.is_terminating = true;
  SignalProcess(gateway, SIGTERM);
  RecordDisturbance(fleet.check, index, clock::Now() + kGraceTime);
  const pid_t pid = gateway.pid;
  RunAfter(fleet, kGraceTime, [&fleet, index, pid] {
    if (fleet.gateways[index].pid == pid)
      fleet.violations.push_back(fleet.gateways[index].name +
                                 " still runs at the end of the grace time");
    if (fleet.gateways[index].pid == pid)
      SignalProcess(fleet.gateways[index], SIGKILL);
  });
}

void PauseOne(Fleet& fleet, std::uint32_t index, base::Duration duration) {
  GatewayProcess& gateway = fleet.gateways[index];
  if (!IsDisturbable(gateway))
    return;
  WriteRecord(fleet, "SIGSTOP to " + gateway.name);
  gateway.is_paused = true;
  SignalProcess(gateway, SIGSTOP);
  RecordDisturbance(fleet.check, index, clock::Now() + duration);
  const pid_t pid = gateway.pid;
  RunAfter(fleet, duration, [&fleet, index, pid] {
    if (fleet.gateways[index].pid != pid)
      return;
    WriteRecord(fleet, "SIGCONT to " + fleet.gateways[index].name);
    SignalProcess(fleet.gateways[index], SIGCONT);
    fleet.gateways[index].is_paused = false;
    RecordDisturbance(fleet.check, index, clock::Now());
  });
}

void Pause(Fleet& fleet) {
  const bool several = base::UniformBelow(fleet.rng, 3) == 0;
  const base::Duration duration =
      DrawDuration(fleet, milliseconds(300), milliseconds(4000));
  for (int i = several ? 3 : 1; i > 0; --i)
    PauseOne(fleet, DrawGateway(fleet), duration);
}

void SilenceStoreConnections(Fleet& fleet) {
  WriteRecord(fleet, "open connections to the store go silent");
  for (const auto& listener : fleet.store_listeners)
    standin::SilenceConnections(*listener, nullptr);
}

void SilenceOneGateway(Fleet& fleet) {
  const std::uint32_t index = DrawGateway(fleet);
  WriteRecord(fleet, "connections of " + fleet.gateways[index].name +
                         " to the store go silent");
  standin::SilenceConnections(*fleet.store_listeners[index], nullptr);
}

void CutWatches(Fleet& fleet) {
  WriteRecord(fleet, "waiting watches are cut");
  standin::ResetPlatformWatches(*fleet.store);
}

void DropHistory(Fleet& fleet) {
  WriteRecord(fleet, "the store drops its history");
  standin::CompactPlatformHistory(*fleet.store);
}

// Restores the store from a copy that is some seconds old. The operator then
// writes the latest configuration again, and the upstreams their entries.
void Restore(Fleet& fleet) {
  WriteRecord(fleet, "a copy of the store is kept");
  standin::KeepPlatformCopy(*fleet.store);
  RunAfter(fleet, DrawDuration(fleet, milliseconds(500), milliseconds(4000)),
           [&fleet] {
             WriteRecord(fleet, "the store is restored from the copy");
             standin::RestorePlatformCopy(*fleet.store);
             RunAfter(fleet,
                      DrawDuration(fleet, milliseconds(100), milliseconds(500)),
                      [&fleet] { WriteConfiguration(fleet); });
           });
}

void Reload(Fleet& fleet) {
  GatewayProcess& gateway = fleet.gateways[DrawGateway(fleet)];
  if (gateway.pid == 0)
    return;
  WriteRecord(fleet, "SIGHUP to " + gateway.name);
  SignalProcess(gateway, SIGHUP);
}

// Adds a violation if the upstream has got more requests than its limit allows
// since `since`, and ends the limit.
void EndLimit(Fleet& fleet,
              standin::PlatformUpstream& upstream,
              std::chrono::steady_clock::time_point since) {
  const double limit = std::stod(upstream.rate_limit);
  upstream.rate_limit.clear();
  const std::size_t most =
      MostArrivals(upstream.arrivals, since, std::chrono::steady_clock::now());
  if (most > AllowedArrivals(limit))
    fleet.violations.push_back(
        upstream.instance_id + " states a limit of " + std::to_string(limit) +
        " and got " + std::to_string(most) + " requests in a window, " +
        std::to_string(AllowedArrivals(limit)) + " allowed");
}

void LimitUpstream(Fleet& fleet) {
  const std::size_t index =
      base::UniformBelow(fleet.rng, fleet.upstreams.size());
  const standin::PlatformUpstreamPtr upstream = fleet.upstreams[index];
  if (!upstream->rate_limit.empty())
    return;
  upstream->rate_limit =
      std::to_string(1 + base::UniformBelow(fleet.rng, 6)) + ".5";
  WriteRecord(fleet, upstream->instance_id + " states a limit of " +
                         upstream->rate_limit);
  const auto since = std::chrono::steady_clock::now() + kLimitLearningTime;
  RunAfter(fleet, DrawDuration(fleet, milliseconds(8000), milliseconds(14000)),
           [&fleet, upstream, since] { EndLimit(fleet, *upstream, since); });
}

struct Trouble {
  const char* name;
  void (*start)(Fleet&);
};

constexpr std::array kTroubles = {
    Trouble{"kill", Kill},
    Trouble{"terminate", Terminate},
    Trouble{"pause", Pause},
    Trouble{"silence", SilenceStoreConnections},
    Trouble{"silence_one", SilenceOneGateway},
    Trouble{"cut_watches", CutWatches},
    Trouble{"drop_history", DropHistory},
    Trouble{"reload", Reload},
    Trouble{"limit", LimitUpstream},
    Trouble{"restore", Restore},
};

// Returns whether a trouble may be drawn in this run.
bool IsSelected(const Options& options, const Trouble& trouble) {
  return options.trouble_names.empty() ||
         std::find(options.trouble_names.begin(), options.trouble_names.end(),
                   trouble.name) != options.trouble_names.end();
}

void ScheduleTrouble(Fleet& fleet) {
  const double wait_s =
      -std::log(1 - base::Uniform01(fleet.rng)) / fleet.options.trouble_rate;
  RunAfter(fleet, base::Scale(std::chrono::seconds(1), wait_s), [&fleet] {
    const Trouble& trouble =
        kTroubles.at(base::UniformBelow(fleet.rng, kTroubles.size()));
    if (IsSelected(fleet.options, trouble)) {
      ++fleet.troubles[trouble.name];
      trouble.start(fleet);
    }
    ScheduleTrouble(fleet);
  });
}

void ScheduleChange(Fleet& fleet, std::uint64_t left_in_storm) {
  const base::Duration wait =
      left_in_storm > 0
          ? DrawDuration(fleet, milliseconds(50), milliseconds(400))
          : DrawDuration(fleet, milliseconds(300), milliseconds(4000));
  RunAfter(fleet, wait, [&fleet, left_in_storm] {
    if (fleet.options.silences_at_changes)
      SilenceStoreConnections(fleet);
    WriteNextConfiguration(fleet);
    std::uint64_t next_left = left_in_storm > 0 ? left_in_storm - 1 : 0;
    if (left_in_storm == 0 && base::UniformBelow(fleet.rng, 4) == 0)
      next_left = 5 + base::UniformBelow(fleet.rng, 15);
    ScheduleChange(fleet, next_left);
  });
}

}  // namespace

void StartConfigurationChanges(Fleet& fleet) {
  ScheduleChange(fleet, 0);
}

void StartTroubles(Fleet& fleet) {
  if (fleet.options.trouble_rate > 0)
    ScheduleTrouble(fleet);
}

}  // namespace poplarfork::soak
