#include "standin/upstream_state_func.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/rng_func.h"
#include "standin/upstream_fault_func.h"

namespace poplarfork::standin {

namespace {

using web::json::value;

// Maximum number of keys with a run record. A test of one hour with 50 requests
// per second stays below it.
constexpr std::size_t kMaxRunKeys = 500000;
constexpr std::size_t kMaxLoadSamples = 20000;

double ColdStartFactor(const UpstreamState& state, base::TimePoint now) {
  const base::Duration uptime = now - state.started_at;
  const base::Duration cold_start_time = state.options.cold_start_time;
  if (uptime >= cold_start_time)
    return 1.0;
  const double remaining_share =
      1.0 - static_cast<double>(uptime.count()) /
                static_cast<double>(cold_start_time.count());
  return 1.0 + (state.options.cold_factor - 1.0) * remaining_share;
}

base::Duration DrawServiceTime(UpstreamState& state, base::TimePoint now) {
  const double spread = state.options.service_spread;
  const double deviation = 2.0 * base::Uniform01(state.rng) - 1.0;
  const double factor =
      ColdStartFactor(state, now) * (1.0 + spread * deviation);
  const auto base_time =
      static_cast<double>(state.options.service_time.count());
  return base::Duration(static_cast<base::Duration::rep>(base_time * factor));
}

void RecordLoadSample(UpstreamState& state, base::TimePoint now) {
  state.load_history.push_back(LoadSample{now, CurrentLoad(state)});
  if (state.load_history.size() > kMaxLoadSamples)
    state.load_history.pop_front();
}

RunRecord* FindOrCreateRunRecord(UpstreamState& state,
                                 const RequestInfo& request) {
  const std::string key = RunKey(request);
  if (key.empty())
    return nullptr;
  const auto entry = state.run_records.find(key);
  if (entry != state.run_records.end())
    return &entry->second;
  return state.run_records.size() < kMaxRunKeys ? &state.run_records[key]
                                                : nullptr;
}

void CountRunStart(UpstreamState& state, const RequestInfo& request) {
  RunRecord* const record = FindOrCreateRunRecord(state, request);
  if (record != nullptr)
    record->started += 1;
  else
    state.counts.unkeyed_runs += 1;
}

value RunRecordJson(const RunRecord& record) {
  value json = value::object();
  json["started"] = value::number(record.started);
  json["completed"] = value::number(record.completed);
  json["cancelled"] = value::number(record.cancelled);
  json["expired"] = value::number(record.expired);
  return json;
}

}  // namespace

UpstreamState MakeUpstreamState(std::string name,
                                const UpstreamOptions& options,
                                base::TimePoint now) {
  UpstreamState state;
  state.name = std::move(name);
  state.options = options;
  state.rng.seed(options.seed);
  state.started_at = now;
  return state;
}

std::string RunKey(const RequestInfo& request) {
  return request.idempotency_key.empty() ? request.request_id
                                         : request.idempotency_key;
}

RunPlan StartRun(UpstreamState& state,
                 const RequestInfo& request,
                 base::TimePoint now) {
  state.in_flight += 1;
  RecordLoadSample(state, now);
  CountRunStart(state, request);
  const std::string& target = request.target;
  RunPlan plan;
  plan.service_time = DrawServiceTime(state, now);
  if (const auto slow = TriggerFault(state, UpstreamFaultKind::kSlow, target))
    plan.service_time += slow->duration;
  if (const auto late =
          TriggerFault(state, UpstreamFaultKind::kLateResponse, target)) {
    plan.service_time += late->duration;
    plan.ignores_deadline = true;
  }
  if (const auto error_status =
          TriggerFault(state, UpstreamFaultKind::kErrorStatus, target))
    plan.status = error_status->status;
  if (TriggerFault(state, UpstreamFaultKind::kTruncatedBody, target))
    plan.is_body_truncated = true;
  if (const auto previous_response =
          TriggerFault(state, UpstreamFaultKind::kPreviousResponse, target)) {
    plan.is_for_previous_request = true;
    plan.has_own_request_id = previous_response->has_own_request_id;
  }
  if (TriggerFault(state, UpstreamFaultKind::kLostResponses, target))
    plan.is_response_lost = true;
  return plan;
}

void CountRunOutcome(UpstreamState& state,
                     const RequestInfo& request,
                     RunOutcome outcome) {
  RunRecord* const record = FindOrCreateRunRecord(state, request);
  if (record == nullptr)
    return;
  record->completed += outcome == RunOutcome::kCompleted ? 1 : 0;
  record->cancelled += outcome == RunOutcome::kCancelled ? 1 : 0;
  record->expired += outcome == RunOutcome::kExpired ? 1 : 0;
}

void FreeSlot(UpstreamState& state, base::TimePoint now) {
  state.in_flight -= 1;
  RecordLoadSample(state, now);
}

double CurrentLoad(const UpstreamState& state) {
  const std::size_t slots = std::max<std::size_t>(state.options.slots, 1);
  return static_cast<double>(state.in_flight) / static_cast<double>(slots);
}

double ComputeReportedLoad(const UpstreamState& state, base::TimePoint now) {
  if (const auto false_load = FindFault(state, UpstreamFaultKind::kFalseLoad))
    return false_load->reported_load;
  const auto lag = FindFault(state, UpstreamFaultKind::kLoadLag);
  if (!lag)
    return CurrentLoad(state);
  double reported = 0.0;
  for (const LoadSample& sample : state.load_history) {
    if (sample.sampled_at + lag->duration > now)
      break;
    reported = sample.load;
  }
  return reported;
}

unsigned ComputeReportedHealth(const UpstreamState& state,
                               base::TimePoint now) {
  constexpr unsigned kHealthy = 200;
  constexpr unsigned kUnavailable = 503;
  if (const auto false_health =
          FindFault(state, UpstreamFaultKind::kFalseHealth))
    return false_health->status;
  if (!state.draining_since)
    return kHealthy;
  const auto lag = FindFault(state, UpstreamFaultKind::kHealthLag);
  const base::Duration delay = lag ? lag->duration : base::Duration::zero();
  return *state.draining_since + delay <= now ? kUnavailable : kHealthy;
}

value RunsJson(const UpstreamState& state, bool is_repeated_only) {
  value runs = value::object();
  std::uint64_t started = 0;
  std::uint64_t repeated = 0;
  for (const auto& [key, record] : state.run_records) {
    started += record.started;
    repeated += record.started > 1 ? 1 : 0;
    if (!is_repeated_only || record.started > 1)
      runs[key] = RunRecordJson(record);
  }
  value json = value::object();
  json["keys"] = value::number(std::uint64_t{state.run_records.size()});
  json["started"] = value::number(started);
  json["repeated_keys"] = value::number(repeated);
  json["unkeyed"] = value::number(state.counts.unkeyed_runs);
  json["runs"] = std::move(runs);
  return json;
}

value RunsOfKeyJson(const UpstreamState& state, const std::string& key) {
  const auto entry = state.run_records.find(key);
  return RunRecordJson(entry == state.run_records.end() ? RunRecord{}
                                                        : entry->second);
}

value UpstreamCountsJson(const UpstreamState& state) {
  const UpstreamCounts& counts = state.counts;
  value json = value::object();
  json["name"] = value::string(state.name);
  json["requests"] = value::number(counts.requests);
  json["shed"] = value::number(counts.shed);
  json["hung"] = value::number(counts.hung_requests);
  json["crashes"] = value::number(counts.crashes);
  json["while_draining"] = value::number(counts.requests_while_draining);
  json["health_calls"] = value::number(counts.health_calls);
  json["load_calls"] = value::number(counts.load_calls);
  json["in_flight"] = value::number(std::uint64_t{state.in_flight});
  return json;
}

}  // namespace poplarfork::standin
