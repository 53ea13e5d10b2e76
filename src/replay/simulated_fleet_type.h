#pragma once

#include <cstdint>
#include <queue>
#include <variant>
#include <vector>

#include "base/rng_type.h"
#include "base/time_type.h"
#include "health/event_type.h"
#include "health/ledger_type.h"
#include "health/service_health_type.h"
#include "replay/arrival_type.h"
#include "replay/fault_type.h"
#include "replay/measurement_type.h"
#include "replay/recording_type.h"
#include "replay/simulation_func.h"

namespace poplarfork::replay {

// The next request of the Poisson stream arrives.
struct RequestArrival {
  Arrival arrival;
};

// A request ends.
struct RequestCompletion {
  health::RequestFinished finished;
  std::uint32_t upstream_index = 0;
  base::TimePoint started_at{};
};

// A tick is due. It is processed later than planned if the daemon is paused.
struct ScheduledTick {
  base::TimePoint planned_at{};
};

// The health code gets any other event, for example a message of a peer.
struct HealthEventDelivery {
  health::Event event;
};

// A daemon's read of the ledger reaches the store.
struct StoreReadArrival {};

// A daemon's compare-and-swap of the ledger reaches the store.
struct StoreWriteArrival {
  health::Ledger ledger;
};

// An event of the discrete-event simulation that occurs at one daemon.
struct SimulationEvent {
  base::TimePoint due_at{};
  std::uint64_t insertion_order = 0;
  std::uint32_t daemon_index = 0;
  std::variant<RequestArrival,
               RequestCompletion,
               ScheduledTick,
               HealthEventDelivery,
               StoreReadArrival,
               StoreWriteArrival>
      payload;
};

// Orders the event queue by time and, for equal times, by insertion, so that
// runs with the same seed are equal.
struct IsDueLater {
  bool operator()(const SimulationEvent& a, const SimulationEvent& b) const {
    return a.due_at != b.due_at ? a.due_at > b.due_at
                                : a.insertion_order > b.insertion_order;
  }
};

// How a daemon uses one upstream.
struct UpstreamUsage {
  // The share of its regular load that the upstream gets; 0 if it gets none.
  double weight = 1;
  // The upstream gets a request only while none is in flight to it.
  bool one_at_a_time = false;
  bool has_pooled_connection = true;
  std::uint32_t requests_in_flight = 0;
  // The daemon stopped sending regular load during the fault, or did not send
  // any when the fault began.
  bool is_detected = false;
  base::TimePoint connections_closed_at{};
};

// The state of one simulated daemon.
struct SimulatedDaemon {
  health::ServiceHealth health;
  base::Rng rng;
  std::vector<UpstreamUsage> usage;
  std::uint64_t view_version = 0;
};

// A period in which a daemon processes no events. Events that become due in it
// are processed at its end.
struct DaemonPause {
  std::uint32_t daemon_index = 0;
  base::TimePoint start{};
  base::TimePoint end{};
};

// The state of one simulation run.
struct SimulatedFleet {
  SimulationPlan plan;
  Fault fault;
  std::vector<DaemonPause> pauses;
  std::vector<SimulatedDaemon> daemons;
  // The ledger in the store.
  health::Ledger stored_ledger;
  std::priority_queue<SimulationEvent, std::vector<SimulationEvent>, IsDueLater>
      event_queue;
  std::uint64_t next_insertion_order = 0;
  std::uint64_t next_request_number = 1;
  base::Rng arrival_rng;
  // The index of the upstream that drains for a part of the run.
  std::uint32_t draining_upstream = 0;
  Measurement measurement;
  // Null if no daemon is recorded.
  Recording* recording = nullptr;
};

}  // namespace poplarfork::replay
