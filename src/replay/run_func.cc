#include "replay/run_func.h"

#include <algorithm>

#include "base/rng_func.h"
#include "health/service_health_func.h"
#include "replay/fleet_func.h"
#include "replay/fleet_type.h"
#include "replay/outcome_func.h"

namespace poplarfork::replay {

namespace {

constexpr base::Duration kTickInterval = std::chrono::milliseconds(100);
constexpr base::Duration kPausePeriod = std::chrono::seconds(6);

// Returns true if a fault of this kind is at a number of chosen upstreams and
// not in the network, at all upstreams or at the daemons.
bool IsAtUpstreams(FaultKind kind) {
  return kind != FaultKind::kNone && kind != FaultKind::kOneWayPartition &&
         kind != FaultKind::kOverload && kind != FaultKind::kPausedObserver;
}

// Chooses the faulty upstreams and the one that drains at random, so that the
// draining one is not faulty.
Fault PlanFault(const RunPlan& plan, std::uint32_t& draining) {
  base::Rng rng(plan.seed);
  std::vector<std::uint32_t> order(plan.workload.service.upstreams.size());
  for (std::uint32_t i = 0; i < order.size(); ++i)
    order[i] = i;
  for (std::size_t i = order.size() - 1; i > 0; --i)
    std::swap(order[i], order[base::UniformBelow(rng, i + 1)]);
  Fault fault;
  fault.kind = plan.fault;
  fault.start = kRunStart + plan.timeline.fault_start;
  fault.end = kRunStart + plan.timeline.fault_end;
  if (IsAtUpstreams(plan.fault))
    fault.upstreams.assign(order.begin(),
                           order.begin() + plan.faulty_upstreams);
  draining = order.back();
  return fault;
}

// Returns the pauses of a `kPausedObserver` fault: one every 6 s, each of
// another daemon and 1 s to 10 s long.
std::vector<Pause> PlanPauses(const Fleet& fleet) {
  std::vector<Pause> pauses;
  if (fleet.fault.kind != FaultKind::kPausedObserver)
    return pauses;
  std::uint32_t number = 0;
  for (base::TimePoint at = fleet.fault.start; at < fleet.fault.end;
       at += kPausePeriod) {
    Pause pause;
    pause.daemon = (number * 7 + 1) % fleet.daemons.size();
    pause.from = at;
    pause.until = at + std::chrono::seconds(1 + number * 3 % 10);
    pauses.push_back(pause);
    ++number;
  }
  return pauses;
}

void BuildDaemons(Fleet& fleet) {
  const Workload& workload = fleet.plan.workload;
  for (std::uint32_t i = 0; i < workload.daemons.size(); ++i) {
    DaemonRun run;
    run.health = health::BuildServiceHealth(
        workload.service, workload.daemons[i], kRunStart, fleet.plan.detector);
    run.rng.seed(DaemonSeed(fleet.plan.seed, i));
    run.usage.resize(workload.service.upstreams.size());
    run.view_version = run.health.view_version;
    fleet.daemons.push_back(std::move(run));
  }
}

void PushDrain(Fleet& fleet, base::Duration after, bool draining) {
  const health::ServiceHealth& health = fleet.daemons.front().health;
  const base::UpstreamId id = health.upstreams[fleet.draining].id;
  for (std::uint32_t i = 0; i < fleet.daemons.size(); ++i) {
    Push(fleet, kRunStart + after, i,
         EventItem{health::DrainChanged{id, draining}});
  }
}

void PushFirstItems(Fleet& fleet) {
  for (std::uint32_t i = 0; i < fleet.daemons.size(); ++i) {
    Push(fleet, kRunStart, i,
         EventItem{health::GroupChanged{fleet.plan.workload.daemons}});
    // The daemons tick at different times: each starts 1.7 ms after the one
    // before it.
    const base::TimePoint first =
        kRunStart + kTickInterval + std::chrono::microseconds(1700) * i;
    Push(fleet, first, i, TickItem{first});
  }
  PushDrain(fleet, fleet.plan.timeline.drain_start, true);
  PushDrain(fleet, fleet.plan.timeline.drain_end, false);
  const Arrival first =
      DrawArrival(fleet.plan.workload, kRunStart, fleet.arrivals);
  Push(fleet, first.at, first.daemon, ArrivalItem{first});
}

void StartRequest(Fleet& fleet, const Arrival& arrival, base::TimePoint now) {
  DaemonRun& run = fleet.daemons[arrival.daemon];
  Usage& usage = run.usage[arrival.upstream];
  if (usage.weight <= arrival.routing)
    return;
  if (usage.one_at_a_time && usage.in_flight > 0)
    return;
  const base::UpstreamId& id = run.health.upstreams[arrival.upstream].id;
  const health::RequestStarted started{
      fleet.next_request++, id, arrival.fingerprint, usage.pooled_connection};
  ++usage.in_flight;
  const Ending ending = EndingOf(fleet.plan.workload, fleet.fault, arrival);
  FinishItem finish;
  finish.finished = {started.request_number,
                     id,
                     ending.outcome,
                     ending.latency,
                     started.reused_connection,
                     arrival.fingerprint};
  finish.upstream = arrival.upstream;
  finish.started = now;
  Feed(fleet, arrival.daemon, started, now);
  Push(fleet, now + ending.latency, arrival.daemon, finish);
}

void Perform(Fleet& fleet, const Item& item, const ArrivalItem& what) {
  StartRequest(fleet, what.arrival, item.at);
}

void Perform(Fleet& fleet, const Item& item, const FinishItem& what) {
  health::RequestFinished finished = what.finished;
  finished.latency = item.at - what.started;
  if (finished.latency >= fleet.plan.workload.deadline)
    finished.outcome = health::RequestOutcome::kTimeout;
  Usage& usage = fleet.daemons[item.daemon].usage[what.upstream];
  --usage.in_flight;
  if (finished.outcome == health::RequestOutcome::kSuccess &&
      what.started >= usage.connections_closed)
    usage.pooled_connection = true;
  Feed(fleet, item.daemon, finished, item.at);
}

void Perform(Fleet& fleet, const Item& item, const TickItem& what) {
  Feed(fleet, item.daemon, health::Tick{item.at - what.planned}, item.at);
  const base::TimePoint next = item.at + kTickInterval;
  Push(fleet, next, item.daemon, TickItem{next});
}

void Perform(Fleet& fleet, const Item& item, const EventItem& what) {
  Feed(fleet, item.daemon, what.event, item.at);
}

void Perform(Fleet& fleet, const Item& item, const StoreReadItem& /*payload*/) {
  StoreRead(fleet, item.daemon, item.at);
}

void Perform(Fleet& fleet, const Item& item, const StoreWriteItem& what) {
  StoreWrite(fleet, item.daemon, what.ledger, item.at);
}

// Counts the faulty upstreams that a daemon already does not use when the fault
// begins as detected after 0 s, since they get no regular load during the
// fault.
void NoteOutAtStart(Fleet& fleet) {
  for (DaemonRun& run : fleet.daemons) {
    for (const std::uint32_t upstream : fleet.fault.upstreams) {
      Usage& usage = run.usage[upstream];
      if (usage.weight > 0 && !usage.one_at_a_time)
        continue;
      usage.detected = true;
      fleet.measurement.detections.emplace_back(0);
    }
  }
}

// Returns the end of the pause that the daemon is in at `time`, or `time` if it
// is not paused.
base::TimePoint AwakeAt(const Fleet& fleet,
                        std::uint32_t daemon,
                        base::TimePoint at) {
  for (const Pause& pause : fleet.pauses) {
    if (pause.daemon == daemon && at >= pause.from && at < pause.until)
      return pause.until;
  }
  return at;
}

void DrawNext(Fleet& fleet, base::TimePoint previous) {
  const Arrival next =
      DrawArrival(fleet.plan.workload, previous, fleet.arrivals);
  Push(fleet, next.at, next.daemon, ArrivalItem{next});
}

void Finish(Fleet& fleet) {
  Measurement& measurement = fleet.measurement;
  const double hours =
      std::chrono::duration<double, std::ratio<3600>>(fleet.plan.timeline.end)
          .count();
  const auto pairs = static_cast<double>(
      fleet.daemons.size() * fleet.plan.workload.service.upstreams.size());
  measurement.upstream_hours = hours * pairs;
  measurement.daemon_seconds =
      hours * 3600 * static_cast<double>(fleet.daemons.size());
  for (const DaemonRun& run : fleet.daemons) {
    for (const std::uint32_t upstream : fleet.fault.upstreams) {
      if (run.usage[upstream].detected)
        continue;
      ++measurement.missed;
      measurement.detections.push_back(fleet.fault.end - fleet.fault.start);
    }
  }
}

}  // namespace

std::uint64_t DaemonSeed(std::uint64_t seed, std::uint32_t daemon) {
  return seed * 1000003 + daemon;
}

Measurement Run(const RunPlan& plan, Recording* recording) {
  Fleet fleet;
  fleet.plan = plan;
  fleet.fault = PlanFault(plan, fleet.draining);
  fleet.arrivals.seed(plan.seed);
  fleet.stored.service = plan.workload.service.id;
  fleet.recording = recording;
  BuildDaemons(fleet);
  fleet.pauses = PlanPauses(fleet);
  PushFirstItems(fleet);
  const base::TimePoint end = kRunStart + plan.timeline.end;
  bool fault_started = false;
  while (!fleet.items.empty() && fleet.items.top().at < end) {
    Item item = fleet.items.top();
    fleet.items.pop();
    if (!fault_started && item.at >= fleet.fault.start) {
      fault_started = true;
      NoteOutAtStart(fleet);
    }
    const bool first_time =
        std::holds_alternative<ArrivalItem>(item.what) &&
        std::get<ArrivalItem>(item.what).arrival.at == item.at;
    if (first_time)
      DrawNext(fleet, item.at);
    const base::TimePoint awake = AwakeAt(fleet, item.daemon, item.at);
    if (awake != item.at) {
      item.at = awake;
      fleet.items.push(item);
      continue;
    }
    std::visit(
        [&fleet, &item](const auto& what) { Perform(fleet, item, what); },
        item.what);
  }
  Finish(fleet);
  return fleet.measurement;
}

}  // namespace poplarfork::replay
