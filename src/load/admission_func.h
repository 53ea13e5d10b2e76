#pragma once

#include "base/ids_type.h"
#include "base/rng_type.h"
#include "base/time_type.h"
#include "load/admission_type.h"
#include "load/load_state_type.h"

namespace poplarfork::load {

// Delay of the event loop at which a daemon counts as fully loaded.
inline constexpr base::Duration kFullLoadLoopDelay =
    std::chrono::milliseconds(100);

// Decides whether a request is admitted. An admitted request counts as in
// flight until `OnRequestDone`; a refused one takes no token.
AdmissionDecision Admit(LoadState& state,
                        const AdmissionRequest& request,
                        base::TimePoint now,
                        base::Rng& rng);

// Ends a request that `Admit` admitted.
void OnRequestDone(LoadState& state, const base::ServiceId& service);

// Returns the daemon's load pressure, 1 at full load: the larger of the
// requests in flight relative to their maximum and the event loop's delay
// relative to `kFullLoadLoopDelay`.
double Pressure(const LoadState& state);

// Returns the name of the reason as it appears in logs and responses.
const char* RefusalName(RefusalReason refusal);

// Returns the HTTP status of the response to a refused request.
int RefusalStatus(RefusalReason refusal);

}  // namespace poplarfork::load
