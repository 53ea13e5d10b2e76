#include "load/admission_func.h"

#include <algorithm>

#include "base/rng_func.h"

namespace poplarfork::load {

namespace {

// Load pressure from which on work of each urgency is shed.
constexpr double kShedBulk = 0.7;
constexpr double kShedNormal = 0.85;
constexpr double kShedUrgent = 1.0;

constexpr base::Duration kRetryAfterShed = std::chrono::seconds(1);
constexpr base::Duration kRetryAfterBulk = std::chrono::seconds(5);
constexpr base::Duration kRetryAfterDeadline = std::chrono::milliseconds(100);

double ShedFrom(note::Urgency urgency) {
  switch (urgency) {
    case note::Urgency::kBulk:
      return kShedBulk;
    case note::Urgency::kNormal:
      return kShedNormal;
    case note::Urgency::kUrgent:
      return kShedUrgent;
  }
  return kShedUrgent;
}

base::Duration ShedWait(note::Urgency urgency) {
  return urgency == note::Urgency::kBulk ? kRetryAfterBulk : kRetryAfterShed;
}

// Spreads the retries of callers over half to one and a half times
// `retry_after`, so that they do not arrive together.
base::Duration Jitter(base::Duration wait, base::Rng& rng) {
  const auto half = wait / 2;
  return half +
         base::Duration(static_cast<base::Duration::rep>(
             base::UniformUnit(rng) * static_cast<double>(wait.count())));
}

Admission Refuse(Refusal refusal, base::Duration retry_after, double pressure) {
  return {.refusal = refusal, .retry_after = retry_after, .pressure = pressure};
}

}  // namespace

Admission Admit(LoadState& state,
                const AdmitRequest& request,
                base::TimePoint now,
                base::Rng& rng) {
  const double pressure = Pressure(state);
  if (request.deadline <= now) {
    return Refuse(Refusal::kDeadlinePassed, Jitter(kRetryAfterDeadline, rng),
                  pressure);
  }
  const base::Duration wait = ShedWait(request.urgency);
  if (pressure >= ShedFrom(request.urgency))
    return Refuse(Refusal::kShed, Jitter(wait, rng), pressure);

  ServiceLoad& service = state.services[request.service];
  if (service.in_flight >= request.max_in_flight)
    return Refuse(Refusal::kServiceFull, Jitter(wait, rng), pressure);

  if (request.share) {
    const std::optional<base::Duration> until =
        TakeToken(state.accounts, request.account, *request.share, now);
    if (until)
      return Refuse(Refusal::kAccountLimit, *until, pressure);
  }
  ++service.in_flight;
  ++state.in_flight;
  return {.pressure = pressure};
}

void OnDone(LoadState& state, const base::ServiceId& service) {
  const auto found = state.services.find(service);
  if (found != state.services.end() && found->second.in_flight > 0)
    --found->second.in_flight;
  if (state.in_flight > 0)
    --state.in_flight;
}

double Pressure(const LoadState& state) {
  const double most = std::max<std::uint32_t>(state.max_in_flight, 1);
  const double delay = static_cast<double>(state.loop_delay.count()) /
                       static_cast<double>(kFullLoopDelay.count());
  return std::max(state.in_flight / most, delay);
}

const char* RefusalName(Refusal refusal) {
  switch (refusal) {
    case Refusal::kDeadlinePassed:
      return "deadline_passed";
    case Refusal::kShed:
      return "shed";
    case Refusal::kServiceFull:
      return "service_full";
    case Refusal::kAccountLimit:
      return "account_limit";
  }
  return "unknown";
}

int RefusalStatus(Refusal refusal) {
  constexpr int kTooManyRequests = 429;
  constexpr int kServiceUnavailable = 503;
  return refusal == Refusal::kAccountLimit ? kTooManyRequests
                                           : kServiceUnavailable;
}

}  // namespace poplarfork::load
