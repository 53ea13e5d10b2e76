#include "health/ledger_func.h"

#include <algorithm>

#include "health/floor_func.h"

namespace poplarfork::health {

namespace {

bool ContainsUpstream(const std::vector<LedgerEntry>& entries,
                      const base::UpstreamId& upstream) {
  return std::any_of(entries.begin(), entries.end(),
                     [&upstream](const LedgerEntry& entry) {
                       return entry.upstream == upstream;
                     });
}

Ledger DropRemovedEntry(const Ledger& ledger,
                        const base::UpstreamId& upstream) {
  Ledger next = ledger;
  std::erase_if(next.removed, [&upstream](const LedgerEntry& entry) {
    return entry.upstream == upstream;
  });
  return next;
}

bool ContainsSequence(const std::vector<std::uint64_t>& sequences,
                      std::uint64_t sequence) {
  return std::find(sequences.begin(), sequences.end(), sequence) !=
         sequences.end();
}

}  // namespace

std::uint64_t CountedSlots(const Ledger& ledger) {
  std::uint64_t slots = 0;
  for (const LedgerEntry& entry : ledger.ejected)
    slots += entry.slots;
  for (const LedgerEntry& entry : ledger.removed)
    slots += entry.slots;
  return slots;
}

EjectionCheck CheckEjection(const Ledger& ledger,
                            const LedgerCapacity& capacity,
                            const base::UpstreamId& upstream,
                            std::uint32_t slots) {
  if (ContainsUpstream(ledger.ejected, upstream))
    return EjectionCheck::kAlreadyEjected;
  const std::uint64_t unavailable_slots =
      CountedSlots(DropRemovedEntry(ledger, upstream)) +
      capacity.draining_slots + slots;
  const std::uint64_t floor_slots =
      FloorSlots(capacity.floor, capacity.listed_slots);
  if (capacity.listed_slots < floor_slots + unavailable_slots)
    return EjectionCheck::kBelowFloor;
  return EjectionCheck::kAllowed;
}

Ledger AddEjection(const Ledger& ledger,
                   const base::UpstreamId& upstream,
                   std::uint32_t slots,
                   base::Duration hold_down) {
  Ledger next = DropRemovedEntry(ledger, upstream);
  next.ejected.push_back({upstream, slots, hold_down, next.next_sequence});
  ++next.next_sequence;
  return next;
}

Ledger ExpireEjections(const Ledger& ledger,
                       const std::vector<std::uint64_t>& sequences) {
  Ledger next = ledger;
  next.ejected.clear();
  for (const LedgerEntry& entry : ledger.ejected) {
    if (ContainsSequence(sequences, entry.sequence))
      next.removed.push_back(entry);
    else
      next.ejected.push_back(entry);
  }
  return next;
}

Ledger ReleaseRemovedEntries(const Ledger& ledger,
                             const std::vector<std::uint64_t>& sequences) {
  Ledger next = ledger;
  std::erase_if(next.removed, [&sequences](const LedgerEntry& entry) {
    return ContainsSequence(sequences, entry.sequence);
  });
  return next;
}

}  // namespace poplarfork::health
