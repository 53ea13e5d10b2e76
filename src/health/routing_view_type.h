#pragma once

#include <cstdint>
#include <vector>

namespace poplarfork::health {

// One listed upstream, with the properties that decide whether the floor allows
// it to be removed.
struct RoutingEntry {
  std::uint32_t slots = 0;
  bool draining = false;
  // True if the upstream is avoided by this daemon, ejected by the ledger or on
  // trial.
  bool limited = false;
  // True if the upstream is on trial. It is then limited and takes one request
  // at a time.
  bool on_trial = false;
  // Share of its usual requests while the upstream is limited or ramping, 0 to
  // 1.
  double weight = 1;
  // Upstreams with larger values are removed first.
  double suspicion = 0;
};

// All inputs that decide which upstreams a daemon may route requests to.
struct RoutingView {
  std::vector<RoutingEntry> entries;
  // Share of the listed slots that must stay in service, 0 to 1.
  double floor = 0.5;
};

// An upstream that may receive new requests.
struct RoutableUpstream {
  // Position in `RoutingView::entries`.
  std::uint32_t index = 0;
  // Share of its usual requests, greater than 0 and at most 1.
  double weight = 1;
  // True if this daemon may have only one request in flight at the upstream.
  bool one_at_a_time = false;
  // True if the upstream is limited but the floor keeps it in service.
  bool kept_for_floor = false;

  friend bool operator==(const RoutableUpstream&,
                         const RoutableUpstream&) = default;
};

}  // namespace poplarfork::health
