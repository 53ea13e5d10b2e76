#include "load/admission_func.h"

#include <algorithm>

#include "base/rng_func.h"

namespace poplarfork::load {

namespace {

// Load pressure at or above which work of each urgency is shed.
constexpr double kBulkShedPressure = 0.7;
constexpr double kNormalShedPressure = 0.85;
constexpr double kUrgentShedPressure = 1.0;

constexpr base::Duration kShedRetryAfter = std::chrono::seconds(1);
constexpr base::Duration kBulkShedRetryAfter = std::chrono::seconds(5);
constexpr base::Duration kDeadlineRetryAfter = std::chrono::milliseconds(100);

double ShedPressure(note::Urgency urgency) {
  switch (urgency) {
    case note::Urgency::kBulk:
      return kBulkShedPressure;
    case note::Urgency::kNormal:
      return kNormalShedPressure;
    case note::Urgency::kUrgent:
      return kUrgentShedPressure;
  }
  return kUrgentShedPressure;
}

base::Duration ShedRetryAfter(note::Urgency urgency) {
  return urgency == note::Urgency::kBulk ? kBulkShedRetryAfter
                                         : kShedRetryAfter;
}

// Spreads the retries of callers over half to one and a half times
// `retry_after`, so that they do not arrive together.
base::Duration AddJitter(base::Duration retry_after, base::Rng& rng) {
  const auto half = retry_after / 2;
  return half +
         base::Duration(static_cast<base::Duration::rep>(
             base::Uniform01(rng) * static_cast<double>(retry_after.count())));
}

AdmissionDecision Refuse(RefusalReason refusal,
                         base::Duration retry_after,
                         double pressure) {
  return {.refusal = refusal, .retry_after = retry_after, .pressure = pressure};
}

}  // namespace

AdmissionDecision Admit(LoadState& state,
                        const AdmissionRequest& request,
                        base::TimePoint now,
                        base::Rng& rng) {
  const double pressure = Pressure(state);
  if (request.deadline <= now) {
    return Refuse(RefusalReason::kDeadlinePassed,
                  AddJitter(kDeadlineRetryAfter, rng), pressure);
  }
  const base::Duration retry_after = ShedRetryAfter(request.urgency);
  if (pressure >= ShedPressure(request.urgency))
    return Refuse(RefusalReason::kShed, AddJitter(retry_after, rng), pressure);

  ServiceLoad& service = state.services[request.service];
  if (service.in_flight >= request.max_in_flight)
    return Refuse(RefusalReason::kServiceFull, AddJitter(retry_after, rng),
                  pressure);

  if (request.share) {
    const std::optional<base::Duration> token_wait =
        TakeToken(state.accounts, request.account, *request.share, now);
    if (token_wait)
      return Refuse(RefusalReason::kAccountLimit, *token_wait, pressure);
  }
  ++service.in_flight;
  ++state.in_flight;
  return {.pressure = pressure};
}

void OnRequestDone(LoadState& state, const base::ServiceId& service) {
  const auto found = state.services.find(service);
  if (found != state.services.end() && found->second.in_flight > 0)
    --found->second.in_flight;
  if (state.in_flight > 0)
    --state.in_flight;
}

double Pressure(const LoadState& state) {
  const double max_in_flight = std::max<std::uint32_t>(state.max_in_flight, 1);
  const double delay_pressure = static_cast<double>(state.loop_delay.count()) /
                                static_cast<double>(kFullLoadLoopDelay.count());
  return std::max(state.in_flight / max_in_flight, delay_pressure);
}

const char* RefusalName(RefusalReason refusal) {
  switch (refusal) {
    case RefusalReason::kDeadlinePassed:
      return "deadline_passed";
    case RefusalReason::kShed:
      return "shed";
    case RefusalReason::kServiceFull:
      return "service_full";
    case RefusalReason::kAccountLimit:
      return "account_limit";
  }
  return "unknown";
}

int RefusalStatus(RefusalReason refusal) {
  constexpr int kTooManyRequests = 429;
  constexpr int kServiceUnavailable = 503;
  return refusal == RefusalReason::kAccountLimit ? kTooManyRequests
                                                 : kServiceUnavailable;
}

}  // namespace poplarfork::load
