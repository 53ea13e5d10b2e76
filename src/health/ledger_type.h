#pragma once

#include <cstdint>
#include <vector>

#include "base/ids_type.h"
#include "base/time_type.h"

namespace poplarfork::health {

// Ejection of one upstream for the whole fleet.
struct LedgerEntry {
  base::UpstreamId upstream;
  std::uint32_t slots = 0;
  // Time from when a daemon first sees the entry until the entry expires at
  // that daemon. It is a duration because daemons do not share a clock.
  base::Duration hold_down{};
  // Distinguishes a new ejection from an earlier one of the same upstream.
  std::uint64_t sequence = 0;

  friend bool operator==(const LedgerEntry&, const LedgerEntry&) = default;
};

// Content of the store's key `poplarfork/ejections/<service>`. It is changed
// only by compare-and-swap on `version`.
struct Ledger {
  base::ServiceId service;
  // The store's modification number of the key; 0 if the key does not exist. It
  // is not part of the stored value.
  std::uint64_t version = 0;
  std::uint64_t next_sequence = 1;
  std::vector<LedgerEntry> ejected;
  // Removed entries whose capacity is still counted, because some daemon may
  // still apply them.
  std::vector<LedgerEntry> removed;

  friend bool operator==(const Ledger&, const Ledger&) = default;
};

}  // namespace poplarfork::health
