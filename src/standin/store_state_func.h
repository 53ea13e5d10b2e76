#pragma once

#include <cstdint>
#include <vector>

#include "base/result_type.h"
#include "standin/store_request_type.h"
#include "standin/store_result_type.h"
#include "standin/store_state_type.h"

namespace poplarfork::standin {

inline constexpr std::size_t kMaxValueBytes = 1024 * 1024;

// Returns whether `key` is in `range`.
bool IsInRange(const KeyRange& range, const std::string& key);

// Returns the keys of a range and their values, in the order of the keys.
RangeResult ReadRange(const StoreState& state, const RangeRequest& request);

// Executes one operation under a new revision. Errors: kTooLarge for a value
// larger than 1 MB, kMissing for an unknown lease; nothing is changed then.
base::Result<OperationResult> RunOperation(StoreState& state,
                                           const StoreOperation& operation);

// Executes a transaction. All its changes have the same revision. The errors
// are those of `RunOperation`; nothing is changed then.
base::Result<TxnResult> RunTxn(StoreState& state, const TxnRequest& request);

// Grants a lease and returns its id.
std::uint64_t GrantLease(StoreState& state,
                         base::Duration time_to_live,
                         base::TimePoint now);

// Renews a lease. Returns its time to live, or 0 when it does not exist.
base::Duration KeepLeaseAlive(StoreState& state,
                              std::uint64_t lease_id,
                              base::TimePoint now);

// Removes a lease and deletes its keys. Returns false when it does not exist.
bool RevokeLease(StoreState& state, std::uint64_t lease_id);

// Revokes the leases whose time to live has passed at `now`.
void ExpireLeases(StoreState& state, base::TimePoint now);

// Revokes all leases.
void ExpireAllLeases(StoreState& state);

// Returns the changes of keys in `range` with the revision `from_revision` or a
// later one, as far as the history goes back.
std::vector<StoreEvent> EventsSince(const StoreState& state,
                                    const KeyRange& range,
                                    std::uint64_t from_revision);

}  // namespace poplarfork::standin
