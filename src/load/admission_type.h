#pragma once

#include <cstdint>
#include <optional>

#include "base/ids_type.h"
#include "base/time_type.h"
#include "load/account_limits_func.h"
#include "note/policy_type.h"

namespace poplarfork::load {

// The inputs of admission for one request.
struct AdmissionRequest {
  base::ServiceId service = {};
  note::Urgency urgency = note::Urgency::kNormal;
  // Limit on the service's requests in flight, from its policy.
  std::uint32_t max_in_flight = 0;
  base::AccountId account = {};
  // Empty if the request has no account with a limit.
  std::optional<AccountShare> share = {};
  base::TimePoint deadline = {};
};

// Why a request was refused. The outcome is "not run" for all of them.
enum class RefusalReason {
  // 503: the deadline passed before the request could be sent.
  kDeadlinePassed,
  // 503: the daemon sheds work of this urgency.
  kShed,
  // 503: the service has as many requests in flight as its policy allows.
  kServiceFull,
  // 429: the account has used up its share of its limit.
  kAccountLimit,
};

// The decision on a request, with its inputs for the log line.
struct AdmissionDecision {
  // Empty if the request is admitted.
  std::optional<RefusalReason> refusal = {};
  // Time after which the caller may try again, with jitter except for
  // `kAccountLimit`; 0 if the request is admitted.
  base::Duration retry_after = base::Duration(0);
  // Load pressure of the daemon, 1 at full load.
  double pressure = 0;
};

}  // namespace poplarfork::load
