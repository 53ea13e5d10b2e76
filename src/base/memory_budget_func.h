#pragma once

#include <cstdint>

#include "base/memory_budget_type.h"

namespace poplarfork::base {

// Returns the budget of a process that may use this much memory; 0 means no
// limit.
MemoryBudget MakeMemoryBudget(std::uint64_t memory_limit);

// Returns whether a new request, with a body of `request_bytes`, may be taken
// while `buffered_bytes` are buffered.
bool MayTakeRequest(const MemoryBudget& budget,
                    std::uint64_t buffered_bytes,
                    std::uint64_t request_bytes);

// Returns whether `part_bytes` more of a response may be buffered.
bool MayBufferResponse(const MemoryBudget& budget,
                       std::uint64_t buffered_bytes,
                       std::uint64_t part_bytes);

}  // namespace poplarfork::base
