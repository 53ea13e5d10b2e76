#include "replay/simulation_func.h"

#include <algorithm>

#include "base/rng_func.h"
#include "health/service_health_func.h"
#include "replay/outcome_func.h"
#include "replay/simulated_fleet_func.h"
#include "replay/simulated_fleet_type.h"

namespace poplarfork::replay {

namespace {

constexpr base::Duration kTickInterval = std::chrono::milliseconds(100);
constexpr base::Duration kDaemonPausePeriod = std::chrono::seconds(6);

// Returns true if a fault of this kind is at a number of chosen upstreams and
// not in the network, at all upstreams or at the daemons.
bool AffectsChosenUpstreams(FaultKind kind) {
  return kind != FaultKind::kNone && kind != FaultKind::kOneWayPartition &&
         kind != FaultKind::kOverload && kind != FaultKind::kPausedObserver;
}

// Chooses the faulty upstreams and the one that drains at random, so that the
// draining one is not faulty.
Fault PlanFault(const SimulationPlan& plan, std::uint32_t& draining_upstream) {
  base::Rng rng(plan.seed);
  std::vector<std::uint32_t> upstream_order(
      plan.workload.service.upstreams.size());
  for (std::uint32_t i = 0; i < upstream_order.size(); ++i)
    upstream_order[i] = i;
  for (std::size_t i = upstream_order.size() - 1; i > 0; --i)
    std::swap(upstream_order[i],
              upstream_order[base::UniformBelow(rng, i + 1)]);
  Fault fault;
  fault.kind = plan.fault;
  fault.start = kSimulationStart + plan.timeline.fault_start;
  fault.end = kSimulationStart + plan.timeline.fault_end;
  if (AffectsChosenUpstreams(plan.fault))
    fault.upstream_indices.assign(
        upstream_order.begin(),
        upstream_order.begin() + plan.faulty_upstream_count);
  draining_upstream = upstream_order.back();
  return fault;
}

// Returns the pauses of a `kPausedObserver` fault. A pause starts every 6 s, at
// a different daemon than the one before it, and lasts 1 s to 10 s.
std::vector<DaemonPause> PlanDaemonPauses(const SimulatedFleet& fleet) {
  std::vector<DaemonPause> pauses;
  if (fleet.fault.kind != FaultKind::kPausedObserver)
    return pauses;
  std::uint32_t pause_number = 0;
  for (base::TimePoint pause_start = fleet.fault.start;
       pause_start < fleet.fault.end; pause_start += kDaemonPausePeriod) {
    DaemonPause pause;
    pause.daemon_index = (pause_number * 7 + 1) % fleet.daemons.size();
    pause.start = pause_start;
    pause.end = pause_start + std::chrono::seconds(1 + pause_number * 3 % 10);
    pauses.push_back(pause);
    ++pause_number;
  }
  return pauses;
}

void AddDaemons(SimulatedFleet& fleet) {
  const Workload& workload = fleet.plan.workload;
  for (std::uint32_t i = 0; i < workload.daemons.size(); ++i) {
    SimulatedDaemon simulated_daemon;
    simulated_daemon.health =
        health::BuildServiceHealth(workload.service, workload.daemons[i],
                                   kSimulationStart, fleet.plan.detector);
    simulated_daemon.rng.seed(DaemonSeed(fleet.plan.seed, i));
    simulated_daemon.usage.resize(workload.service.upstreams.size());
    simulated_daemon.view_version = simulated_daemon.health.view_version;
    fleet.daemons.push_back(std::move(simulated_daemon));
  }
}

void PushDrainEvents(SimulatedFleet& fleet,
                     base::Duration delay,
                     bool draining) {
  const health::ServiceHealth& health = fleet.daemons.front().health;
  const base::UpstreamId id = health.upstreams[fleet.draining_upstream].id;
  for (std::uint32_t i = 0; i < fleet.daemons.size(); ++i) {
    PushEvent(fleet, kSimulationStart + delay, i,
              HealthEventDelivery{health::DrainChanged{id, draining}});
  }
}

void PushInitialEvents(SimulatedFleet& fleet) {
  for (std::uint32_t i = 0; i < fleet.daemons.size(); ++i) {
    PushEvent(
        fleet, kSimulationStart, i,
        HealthEventDelivery{health::GroupChanged{fleet.plan.workload.daemons}});
    // The daemons tick at different times: each starts 1.7 ms after the one
    // before it.
    const base::TimePoint first_tick_at =
        kSimulationStart + kTickInterval + std::chrono::microseconds(1700) * i;
    PushEvent(fleet, first_tick_at, i, ScheduledTick{first_tick_at});
  }
  PushDrainEvents(fleet, fleet.plan.timeline.drain_start, true);
  PushDrainEvents(fleet, fleet.plan.timeline.drain_end, false);
  const Arrival first_arrival =
      DrawArrival(fleet.plan.workload, kSimulationStart, fleet.arrival_rng);
  PushEvent(fleet, first_arrival.arrived_at, first_arrival.daemon_index,
            RequestArrival{first_arrival});
}

void StartRequest(SimulatedFleet& fleet,
                  const Arrival& arrival,
                  base::TimePoint now) {
  SimulatedDaemon& simulated_daemon = fleet.daemons[arrival.daemon_index];
  UpstreamUsage& usage = simulated_daemon.usage[arrival.upstream_index];
  if (usage.weight <= arrival.routing_draw)
    return;
  if (usage.one_at_a_time && usage.requests_in_flight > 0)
    return;
  const base::UpstreamId& id =
      simulated_daemon.health.upstreams[arrival.upstream_index].id;
  const health::RequestStarted started{fleet.next_request_number++, id,
                                       arrival.fingerprint,
                                       usage.has_pooled_connection};
  ++usage.requests_in_flight;
  const ArrivalResult result =
      ComputeArrivalResult(fleet.plan.workload, fleet.fault, arrival);
  RequestCompletion completion;
  completion.finished = {started.request_number,
                         id,
                         result.outcome,
                         result.latency,
                         started.reused_connection,
                         arrival.fingerprint};
  completion.upstream_index = arrival.upstream_index;
  completion.started_at = now;
  DeliverEvent(fleet, arrival.daemon_index, started, now);
  PushEvent(fleet, now + result.latency, arrival.daemon_index, completion);
}

void ProcessEvent(SimulatedFleet& fleet,
                  const SimulationEvent& event,
                  const RequestArrival& payload) {
  StartRequest(fleet, payload.arrival, event.due_at);
}

void ProcessEvent(SimulatedFleet& fleet,
                  const SimulationEvent& event,
                  const RequestCompletion& payload) {
  health::RequestFinished finished = payload.finished;
  finished.latency = event.due_at - payload.started_at;
  if (finished.latency >= fleet.plan.workload.deadline)
    finished.outcome = health::RequestOutcome::kTimeout;
  UpstreamUsage& usage =
      fleet.daemons[event.daemon_index].usage[payload.upstream_index];
  --usage.requests_in_flight;
  if (finished.outcome == health::RequestOutcome::kSuccess &&
      payload.started_at >= usage.connections_closed_at)
    usage.has_pooled_connection = true;
  DeliverEvent(fleet, event.daemon_index, finished, event.due_at);
}

void ProcessEvent(SimulatedFleet& fleet,
                  const SimulationEvent& event,
                  const ScheduledTick& payload) {
  DeliverEvent(fleet, event.daemon_index,
               health::Tick{event.due_at - payload.planned_at}, event.due_at);
  const base::TimePoint next_tick_at = event.due_at + kTickInterval;
  PushEvent(fleet, next_tick_at, event.daemon_index,
            ScheduledTick{next_tick_at});
}

void ProcessEvent(SimulatedFleet& fleet,
                  const SimulationEvent& event,
                  const HealthEventDelivery& payload) {
  DeliverEvent(fleet, event.daemon_index, payload.event, event.due_at);
}

void ProcessEvent(SimulatedFleet& fleet,
                  const SimulationEvent& event,
                  const StoreReadArrival& /*payload*/) {
  HandleStoreRead(fleet, event.daemon_index, event.due_at);
}

void ProcessEvent(SimulatedFleet& fleet,
                  const SimulationEvent& event,
                  const StoreWriteArrival& payload) {
  HandleStoreWrite(fleet, event.daemon_index, payload.ledger, event.due_at);
}

// Counts the faulty upstreams that a daemon already does not use when the fault
// begins as detected after 0 s, since they get no regular load during the
// fault.
void RecordUnusedAtFaultStart(SimulatedFleet& fleet) {
  for (SimulatedDaemon& simulated_daemon : fleet.daemons) {
    for (const std::uint32_t upstream_index : fleet.fault.upstream_indices) {
      UpstreamUsage& usage = simulated_daemon.usage[upstream_index];
      if (usage.weight > 0 && !usage.one_at_a_time)
        continue;
      usage.is_detected = true;
      fleet.measurement.detection_times.emplace_back(0);
    }
  }
}

// Returns the end of the pause that the daemon is in at `time`, or `time` if it
// is not paused.
base::TimePoint ResumeTime(const SimulatedFleet& fleet,
                           std::uint32_t daemon_index,
                           base::TimePoint time) {
  for (const DaemonPause& pause : fleet.pauses) {
    if (pause.daemon_index == daemon_index && time >= pause.start &&
        time < pause.end)
      return pause.end;
  }
  return time;
}

void PushNextArrival(SimulatedFleet& fleet,
                     base::TimePoint previous_arrival_at) {
  const Arrival next_arrival =
      DrawArrival(fleet.plan.workload, previous_arrival_at, fleet.arrival_rng);
  PushEvent(fleet, next_arrival.arrived_at, next_arrival.daemon_index,
            RequestArrival{next_arrival});
}

void FinishMeasurement(SimulatedFleet& fleet) {
  Measurement& measurement = fleet.measurement;
  const double hours =
      std::chrono::duration<double, std::ratio<3600>>(fleet.plan.timeline.end)
          .count();
  const auto daemon_upstream_pairs = static_cast<double>(
      fleet.daemons.size() * fleet.plan.workload.service.upstreams.size());
  measurement.upstream_hours = hours * daemon_upstream_pairs;
  measurement.daemon_seconds =
      hours * 3600 * static_cast<double>(fleet.daemons.size());
  for (const SimulatedDaemon& simulated_daemon : fleet.daemons) {
    for (const std::uint32_t upstream_index : fleet.fault.upstream_indices) {
      if (simulated_daemon.usage[upstream_index].is_detected)
        continue;
      ++measurement.missed_detections;
      measurement.detection_times.push_back(fleet.fault.end -
                                            fleet.fault.start);
    }
  }
}

}  // namespace

std::uint64_t DaemonSeed(std::uint64_t seed, std::uint32_t daemon_index) {
  return seed * 1000003 + daemon_index;
}

Measurement RunSimulation(const SimulationPlan& plan, Recording* recording) {
  SimulatedFleet fleet;
  fleet.plan = plan;
  fleet.fault = PlanFault(plan, fleet.draining_upstream);
  fleet.arrival_rng.seed(plan.seed);
  fleet.stored_ledger.service = plan.workload.service.id;
  fleet.recording = recording;
  AddDaemons(fleet);
  fleet.pauses = PlanDaemonPauses(fleet);
  PushInitialEvents(fleet);
  const base::TimePoint end = kSimulationStart + plan.timeline.end;
  bool fault_started = false;
  while (!fleet.event_queue.empty() && fleet.event_queue.top().due_at < end) {
    SimulationEvent event = fleet.event_queue.top();
    fleet.event_queue.pop();
    if (!fault_started && event.due_at >= fleet.fault.start) {
      fault_started = true;
      RecordUnusedAtFaultStart(fleet);
    }
    const bool is_first_dequeue =
        std::holds_alternative<RequestArrival>(event.payload) &&
        std::get<RequestArrival>(event.payload).arrival.arrived_at ==
            event.due_at;
    if (is_first_dequeue)
      PushNextArrival(fleet, event.due_at);
    const base::TimePoint resumes_at =
        ResumeTime(fleet, event.daemon_index, event.due_at);
    if (resumes_at != event.due_at) {
      event.due_at = resumes_at;
      fleet.event_queue.push(event);
      continue;
    }
    std::visit(
        [&fleet, &event](const auto& payload) {
          ProcessEvent(fleet, event, payload);
        },
        event.payload);
  }
  FinishMeasurement(fleet);
  return fleet.measurement;
}

}  // namespace poplarfork::replay
