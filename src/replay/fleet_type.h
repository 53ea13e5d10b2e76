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
#include "replay/run_func.h"

namespace poplarfork::replay {

// The next request of the Poisson stream arrives.
struct ArrivalItem {
  Arrival arrival;
};

// A request ends.
struct FinishItem {
  health::RequestFinished finished;
  std::uint32_t upstream = 0;
  base::TimePoint started{};
};

// A tick is due. It is processed later than planned if the daemon is paused.
struct TickItem {
  base::TimePoint planned{};
};

// The health code gets any other event, for example a message of a peer.
struct EventItem {
  health::Event event;
};

// A daemon's read of the ledger reaches the store.
struct StoreReadItem {};

// A daemon's compare-and-swap of the ledger reaches the store.
struct StoreWriteItem {
  health::Ledger ledger;
};

// An event of the discrete-event simulation that occurs at one daemon.
struct Item {
  base::TimePoint at{};
  std::uint64_t sequence = 0;
  std::uint32_t daemon = 0;
  std::variant<ArrivalItem,
               FinishItem,
               TickItem,
               EventItem,
               StoreReadItem,
               StoreWriteItem>
      what;
};

// Orders the event queue by time and, for equal times, by insertion, so that
// runs with the same seed are equal.
struct LaterItem {
  bool operator()(const Item& a, const Item& b) const {
    return a.at != b.at ? a.at > b.at : a.sequence > b.sequence;
  }
};

// How a daemon uses one upstream.
struct Usage {
  // The share of its regular load that the upstream gets; 0 if it gets none.
  double weight = 1;
  // The upstream gets a request only while none is in flight to it.
  bool one_at_a_time = false;
  bool pooled_connection = true;
  std::uint32_t in_flight = 0;
  // The daemon stopped sending regular load during the fault, or did not send
  // any when the fault began.
  bool detected = false;
  base::TimePoint connections_closed{};
};

// The state of one simulated daemon.
struct DaemonRun {
  health::ServiceHealth health;
  base::Rng rng;
  std::vector<Usage> usage;
  std::uint64_t view_version = 0;
};

// A period in which a daemon processes no events. Events that become due in it
// are processed at its end.
struct Pause {
  std::uint32_t daemon = 0;
  base::TimePoint from{};
  base::TimePoint until{};
};

// The state of one simulation run.
struct Fleet {
  RunPlan plan;
  Fault fault;
  std::vector<Pause> pauses;
  std::vector<DaemonRun> daemons;
  // The ledger in the store.
  health::Ledger stored;
  std::priority_queue<Item, std::vector<Item>, LaterItem> items;
  std::uint64_t next_sequence = 0;
  std::uint64_t next_request = 1;
  base::Rng arrivals;
  // The index of the upstream that drains for a part of the run.
  std::uint32_t draining = 0;
  Measurement measurement;
  // Null if no daemon is recorded.
  Recording* recording = nullptr;
};

}  // namespace poplarfork::replay
