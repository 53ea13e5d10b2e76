#pragma once

namespace poplarfork::dispatch {

// Limits that the deployment sets for the dispatcher.
struct Settings {
  // Retries per request, summed over all daemons.
  double retry_ratio = 0.2;
  // Retries in one time window that are allowed in addition to the ratio. The
  // limit holds for windows of any length.
  double retry_allowance = 50;
  // Hedges per first attempt, summed over all daemons; 0 turns them off.
  double hedge_share = 0;
  // Share of the healthy upstreams that must receive requests. Suspended
  // upstreams are used again when fewer than 1 - `floor_share` of the ready
  // upstreams are not suspended, see IsBelowFloor().
  double floor_share = 0.7;
};

}  // namespace poplarfork::dispatch
