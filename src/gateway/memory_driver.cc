#include "gateway/memory_driver.h"

#include <algorithm>

#include "base/memory_budget_func.h"
#include "gateway/log_func.h"
#include "metrics/registry_func.h"

namespace poplarfork::gateway {

namespace {

constexpr double kBytesPerMegabyte = 1e6;

// The bodies that are being received from upstreams may take the budget divided
// by this number. It is less than the part of the budget for requests, so that
// bodies without end do not make the gateway refuse requests.
constexpr std::uint64_t kResponseBudgetDivisor = 2;

// Returns the limit of the bodies that are being received from upstreams.
std::uint64_t MaxResponseBytes(const base::MemoryBudget& budget) {
  const std::uint64_t default_limit = upstream::PoolLimits{}.max_buffered_bytes;
  return budget.total_bytes == 0
             ? default_limit
             : std::min(default_limit,
                        budget.total_bytes / kResponseBudgetDivisor);
}

}  // namespace

void ApplyMemoryLimit(Gateway& gateway) {
  const base::MemoryBudget budget =
      base::MakeMemoryBudget(static_cast<std::uint64_t>(
          gateway.settings.memory_limit_mb * kBytesPerMegabyte));
  gateway.upstream_pool.limits.memory_budget = budget;
  gateway.upstream_pool.limits.max_buffered_bytes = MaxResponseBytes(budget);
  gateway.upstream_pool.memory = gateway.memory;
  if (!gateway.front_server)
    return;
  edge::Limits limits = gateway.front_server->GetLimits();
  limits.memory_budget = budget;
  gateway.front_server->SetLimits(limits);
}

bool HasMemoryForRequest(Gateway& gateway) {
  const base::MemoryBudget& budget = gateway.upstream_pool.limits.memory_budget;
  const bool has_memory =
      base::MayTakeRequest(budget, gateway.memory->bytes, 0);
  if (has_memory == gateway.has_memory_pressure) {
    gateway.has_memory_pressure = !has_memory;
    Log(gateway, "memory_pressure",
        {{"refusing", !has_memory},
         {"buffered_bytes", gateway.memory->bytes},
         {"limit_bytes", budget.request_bytes}});
  }
  return has_memory;
}

void UpdateMemoryMetrics(Gateway& gateway) {
  metrics::SetGauge(gateway.metrics, "buffered_bytes",
                    static_cast<double>(gateway.memory->bytes));
}

}  // namespace poplarfork::gateway
