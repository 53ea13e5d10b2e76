#include "base/memory_budget_func.h"

namespace poplarfork::base {

MemoryBudget MakeMemoryBudget(std::uint64_t memory_limit) {
  // The other half is for the program, its state and the buffers of the kernel.
  // The last quarter of the budget is for the responses to requests that have
  // already been taken.
  MemoryBudget budget;
  budget.total_bytes = memory_limit / 2;
  budget.request_bytes = budget.total_bytes / 4 * 3;
  return budget;
}

bool MayTakeRequest(const MemoryBudget& budget,
                    std::uint64_t buffered_bytes,
                    std::uint64_t request_bytes) {
  return budget.total_bytes == 0 ||
         buffered_bytes + request_bytes <= budget.request_bytes;
}

bool MayBufferResponse(const MemoryBudget& budget,
                       std::uint64_t buffered_bytes,
                       std::uint64_t part_bytes) {
  return budget.total_bytes == 0 ||
         buffered_bytes + part_bytes <= budget.total_bytes;
}

}  // namespace poplarfork::base
