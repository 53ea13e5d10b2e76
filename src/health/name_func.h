#pragma once

#include <optional>
#include <string_view>

#include "health/action_type.h"
#include "health/ledger_func.h"
#include "health/request_outcome_type.h"
#include "health/upstream_state_type.h"

namespace poplarfork::health {

// Return the names that are used in logs, metrics and traces.
std::string_view ToName(ActionKind kind);
std::string_view ToName(Reason reason);
std::string_view ToName(RequestOutcome outcome);
std::string_view ToName(Phase phase);
std::string_view ToName(EjectionCheck check);

// Returns the outcome with `name`, or nullopt if there is no such outcome.
std::optional<RequestOutcome> ParseRequestOutcome(std::string_view name);

}  // namespace poplarfork::health
