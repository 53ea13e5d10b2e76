#include "gateway/memory_driver.h"

#include "base/memory_budget_func.h"
#include "gateway/log_func.h"
#include "metrics/registry_func.h"

namespace poplarfork::gateway {

namespace {

constexpr double kBytesPerMegabyte = 1e6;

}  // namespace

void ApplyMemoryLimit(Gateway& gateway) {
  const base::MemoryBudget budget =
      base::MakeMemoryBudget(static_cast<std::uint64_t>(
          gateway.settings.memory_limit_mb * kBytesPerMegabyte));
  gateway.upstream_pool.limits.memory_budget = budget;
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
