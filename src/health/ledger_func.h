#pragma once

#include <cstdint>
#include <vector>

#include "base/ids_type.h"
#include "base/time_type.h"
#include "health/ledger_type.h"

namespace poplarfork::health {

// A daemon applies an ejection only if it has confirmed the ledger within this
// time.
constexpr base::Duration kLedgerConfirmationTimeout = std::chrono::seconds(15);
// The capacity of a removed entry stays counted for this time:
// `kLedgerConfirmationTimeout` and 5 s for a message that is still in transit.
constexpr base::Duration kRemovedEntryLifetime = std::chrono::seconds(20);
// The coordinator reads a ledger that is not empty from the store at this
// interval and sends it to the group after each read.
constexpr base::Duration kLedgerSendInterval = std::chrono::seconds(5);

// Slots of a service as known to the daemon that writes the ledger.
struct LedgerCapacity {
  std::uint64_t listed_slots = 0;
  // Slots of the upstreams that are draining and have no entry in the ledger.
  std::uint64_t draining_slots = 0;
  // Share of the listed slots that must stay in service, 0 to 1.
  double floor = 0.5;
};

// Result of checking whether an ejection is allowed.
enum class EjectionCheck {
  kAllowed,
  kAlreadyEjected,
  kBelowFloor,
};

// Returns the number of slots of all entries of `ledger`, including removed
// entries.
std::uint64_t CountedSlots(const Ledger& ledger);

// Checks whether the service stays at or above its floor if `upstream` is
// ejected in addition to everything that `ledger` counts. A removed entry of
// the same upstream is not counted twice, because ejecting the upstream again
// takes no further capacity.
EjectionCheck CheckEjection(const Ledger& ledger,
                            const LedgerCapacity& capacity,
                            const base::UpstreamId& upstream,
                            std::uint32_t slots);

// Returns `ledger` with an ejection of `upstream`, which replaces a removed
// entry of the same upstream. The caller must have checked the ejection with
// `CheckEjection`.
Ledger AddEjection(const Ledger& ledger,
                   const base::UpstreamId& upstream,
                   std::uint32_t slots,
                   base::Duration hold_down);

// Returns `ledger` with the ejections that have one of `sequences` moved to the
// removed entries.
Ledger ExpireEjections(const Ledger& ledger,
                       const std::vector<std::uint64_t>& sequences);

// Returns `ledger` without the removed entries that have one of `sequences`.
// Their capacity may then be used again.
Ledger ReleaseRemovedEntries(const Ledger& ledger,
                             const std::vector<std::uint64_t>& sequences);

}  // namespace poplarfork::health
