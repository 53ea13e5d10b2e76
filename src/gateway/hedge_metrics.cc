#include "gateway/hedge_metrics.h"

#include <string>

#include "gateway/response_func.h"
#include "metrics/registry_func.h"

namespace poplarfork::gateway {

const char* HedgeName(const request::HedgeCounts& counts) {
  if (counts.won > 0)
    return "won";
  if (counts.granted > 0)
    return "lost";
  return counts.requested > 0 ? "not_sent" : "none";
}

void CountHedges(Gateway& gateway, const request::HedgeCounts& counts) {
  if (counts.requested > 0)
    metrics::IncrementCounter(gateway.metrics, "hedges_total{event=\"asked\"}");
  if (counts.granted == 0)
    return;
  metrics::IncrementCounter(gateway.metrics, "hedges_total{event=\"granted\"}");
  metrics::IncrementCounter(gateway.metrics,
                            counts.won > 0 ? "hedges_total{event=\"won\"}"
                                           : "hedges_total{event=\"lost\"}");
}

void CountRefusedHedge(Gateway& gateway, dispatch::RefusalReason reason) {
  metrics::IncrementCounter(gateway.metrics,
                            std::string("hedges_refused_total{reason=\"") +
                                RefusalName(reason) + "\"}");
}

}  // namespace poplarfork::gateway
