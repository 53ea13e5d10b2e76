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

double ColdFactor(const UpstreamState& state, base::TimePoint now) {
  const base::Duration age = now - state.started_at;
  const base::Duration cold = state.options.cold_start;
  if (age >= cold)
    return 1.0;
  const double rest = 1.0 - static_cast<double>(age.count()) /
                                static_cast<double>(cold.count());
  return 1.0 + (state.options.cold_factor - 1.0) * rest;
}

base::Duration WorkTime(UpstreamState& state, base::TimePoint now) {
  const double spread = state.options.service_spread;
  const double draw = 2.0 * base::Uniform01(state.rng) - 1.0;
  const double factor = ColdFactor(state, now) * (1.0 + spread * draw);
  const auto base_time =
      static_cast<double>(state.options.service_time.count());
  return base::Duration(static_cast<base::Duration::rep>(base_time * factor));
}

void SampleLoad(UpstreamState& state, base::TimePoint now) {
  state.load_history.push_back(LoadSample{now, CurrentLoad(state)});
  if (state.load_history.size() > kMaxLoadSamples)
    state.load_history.pop_front();
}

RunRecord* FindRecord(UpstreamState& state, const AnswerSource& source) {
  const std::string key = RunKey(source);
  if (key.empty())
    return nullptr;
  const auto entry = state.runs.find(key);
  if (entry != state.runs.end())
    return &entry->second;
  return state.runs.size() < kMaxRunKeys ? &state.runs[key] : nullptr;
}

void CountStart(UpstreamState& state, const AnswerSource& source) {
  RunRecord* const record = FindRecord(state, source);
  if (record != nullptr)
    record->started += 1;
  else
    state.counts.unkeyed_runs += 1;
}

value RecordJson(const RunRecord& record) {
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

std::string RunKey(const AnswerSource& source) {
  return source.idempotency_key.empty() ? source.request_id
                                        : source.idempotency_key;
}

RunPlan StartRun(UpstreamState& state,
                 const AnswerSource& source,
                 base::TimePoint now) {
  state.in_flight += 1;
  SampleLoad(state, now);
  CountStart(state, source);
  const std::string& target = source.target;
  RunPlan plan;
  plan.work = WorkTime(state, now);
  if (const auto slow = TakeFault(state, UpstreamFaultKind::kSlow, target))
    plan.work += slow->duration;
  if (const auto late = TakeFault(state, UpstreamFaultKind::kLate, target)) {
    plan.work += late->duration;
    plan.is_late = true;
  }
  if (const auto wrong = TakeFault(state, UpstreamFaultKind::kWrong, target))
    plan.status = wrong->status;
  if (TakeFault(state, UpstreamFaultKind::kCutBody, target))
    plan.is_cut = true;
  if (const auto crossed =
          TakeFault(state, UpstreamFaultKind::kCrossed, target)) {
    plan.is_crossed = true;
    plan.has_own_id = crossed->has_own_id;
  }
  if (TakeFault(state, UpstreamFaultKind::kOneWaySilence, target))
    plan.is_never_answered = true;
  return plan;
}

void CountEnd(UpstreamState& state, const AnswerSource& source, RunEnd end) {
  RunRecord* const record = FindRecord(state, source);
  if (record == nullptr)
    return;
  record->completed += end == RunEnd::kCompleted ? 1 : 0;
  record->cancelled += end == RunEnd::kCancelled ? 1 : 0;
  record->expired += end == RunEnd::kExpired ? 1 : 0;
}

void FreeSlot(UpstreamState& state, base::TimePoint now) {
  state.in_flight -= 1;
  SampleLoad(state, now);
}

double CurrentLoad(const UpstreamState& state) {
  const std::size_t slots = std::max<std::size_t>(state.options.slots, 1);
  return static_cast<double>(state.in_flight) / static_cast<double>(slots);
}

double ShownLoad(const UpstreamState& state, base::TimePoint now) {
  if (const auto lie = FindFault(state, UpstreamFaultKind::kLoadLie))
    return lie->load;
  const auto lag = FindFault(state, UpstreamFaultKind::kLoadLag);
  if (!lag)
    return CurrentLoad(state);
  double shown = 0.0;
  for (const LoadSample& sample : state.load_history) {
    if (sample.at + lag->duration > now)
      break;
    shown = sample.load;
  }
  return shown;
}

unsigned ShownHealth(const UpstreamState& state, base::TimePoint now) {
  constexpr unsigned kHealthy = 200;
  constexpr unsigned kUnavailable = 503;
  if (const auto lie = FindFault(state, UpstreamFaultKind::kHealthLie))
    return lie->status;
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
  for (const auto& [key, record] : state.runs) {
    started += record.started;
    repeated += record.started > 1 ? 1 : 0;
    if (!is_repeated_only || record.started > 1)
      runs[key] = RecordJson(record);
  }
  value json = value::object();
  json["keys"] = value::number(std::uint64_t{state.runs.size()});
  json["started"] = value::number(started);
  json["repeated_keys"] = value::number(repeated);
  json["unkeyed"] = value::number(state.counts.unkeyed_runs);
  json["runs"] = std::move(runs);
  return json;
}

value RunJson(const UpstreamState& state, const std::string& key) {
  const auto entry = state.runs.find(key);
  return RecordJson(entry == state.runs.end() ? RunRecord{} : entry->second);
}

value UpstreamCountsJson(const UpstreamState& state) {
  const UpstreamCounts& counts = state.counts;
  value json = value::object();
  json["name"] = value::string(state.name);
  json["requests"] = value::number(counts.requests);
  json["shed"] = value::number(counts.shed);
  json["hung"] = value::number(counts.hung);
  json["crashes"] = value::number(counts.crashes);
  json["while_draining"] = value::number(counts.while_draining);
  json["health_calls"] = value::number(counts.health_calls);
  json["load_calls"] = value::number(counts.load_calls);
  json["in_flight"] = value::number(std::uint64_t{state.in_flight});
  return json;
}

}  // namespace poplarfork::standin
