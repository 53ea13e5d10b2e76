#pragma once

#include <string>

#include <cpprest/json.h>

#include "standin/run_plan_type.h"
#include "standin/upstream_state_type.h"

namespace poplarfork::standin {

UpstreamState MakeUpstreamState(std::string name,
                                const UpstreamOptions& options,
                                base::TimePoint now);

// Returns the key under which the runs of a request are counted: its
// Idempotency-Key, otherwise its request id, or "" when it has neither.
std::string RunKey(const RequestInfo& request);

// Takes a slot, counts the start of the run and decides which of the active
// faults affect it.
RunPlan StartRun(UpstreamState& state,
                 const RequestInfo& request,
                 base::TimePoint now);

enum class RunOutcome { kCompleted, kCancelled, kExpired };

// Counts the end of a run.
void CountRunOutcome(UpstreamState& state,
                     const RequestInfo& request,
                     RunOutcome outcome);

// Frees the slot of a run whose response has been sent or will not be sent.
void FreeSlot(UpstreamState& state, base::TimePoint now);

// Returns the number of requests in flight divided by the number of slots.
double CurrentLoad(const UpstreamState& state);

// Returns the load that GET /load shows: the current load or, with the fault
// "load_lag" or "load_lie", an earlier or a given one.
double ComputeReportedLoad(const UpstreamState& state, base::TimePoint now);

// Returns the status of GET /healthz: 200, or 503 while draining. The fault
// "health_lag" delays the 503, and "health_lie" sets the status. Faults that
// affect requests do not change it.
unsigned ComputeReportedHealth(const UpstreamState& state, base::TimePoint now);

// Returns the run records by key; with `is_repeated_only`, only those of keys
// whose requests were run more than once.
web::json::value RunsJson(const UpstreamState& state, bool is_repeated_only);

// Returns the run record of one key.
web::json::value RunsOfKeyJson(const UpstreamState& state,
                               const std::string& key);

web::json::value UpstreamCountsJson(const UpstreamState& state);

}  // namespace poplarfork::standin
