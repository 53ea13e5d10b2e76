#pragma once

#include <optional>
#include <string>

#include <cpprest/json.h>

#include "base/result_type.h"
#include "standin/upstream_state_type.h"

namespace poplarfork::standin {

// Reads a fault command. Its members are kind, probability, count, path, ms or
// seconds, status, load, header, value and with_id; `UpstreamFault` and
// docs/standin.md describe them. Error: kUnsupported for an unknown kind.
base::Result<UpstreamFault> ReadUpstreamFault(const web::json::value& command);

// Makes a fault active in place of any active fault of the same kind.
void AddFault(UpstreamState& state, const UpstreamFault& fault);

// Returns the active fault of a kind, without decrementing its
// `remaining_count`.
std::optional<UpstreamFault> FindFault(const UpstreamState& state,
                                       UpstreamFaultKind kind);

// Decides whether the active fault of a kind affects a request with this
// target. If it does, decrements its `remaining_count` and returns the fault.
std::optional<UpstreamFault> TriggerFault(UpstreamState& state,
                                          UpstreamFaultKind kind,
                                          const std::string& target);

}  // namespace poplarfork::standin
