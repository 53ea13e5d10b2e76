#pragma once

#include <string>
#include <string_view>

#include "base/ids_type.h"
#include "base/result_type.h"
#include "claim/claim_batch_type.h"
#include "claim/claim_message_type.h"

namespace poplarfork::claim {

// Returns the payload of a `CLAIM` envelope.
std::string EncodeClaim(const ClaimMessage& message);

// Decodes the payload of a `CLAIM` envelope. The claimant is the sender of the
// envelope. Errors: `kMalformed`.
base::Result<ClaimMessage> DecodeClaim(std::string_view payload,
                                       const base::DaemonId& sender,
                                       base::Incarnation incarnation);

// Returns the payload of a `CLAIM_RESULT` envelope.
std::string EncodeClaimResult(const ClaimResult& result);

// Decodes the payload of a `CLAIM_RESULT` envelope that `receiver` (this
// daemon) received. Errors: `kMalformed`.
base::Result<ClaimResult> DecodeClaimResult(std::string_view payload,
                                            const base::DaemonId& receiver,
                                            base::Incarnation incarnation);

// Returns the value of a claim log entry in the store.
std::string EncodeBatch(const ClaimBatch& batch);

// Decodes the value of a claim log entry. Errors: `kMalformed`. The caller must
// not skip an entry that cannot be decoded, because it may contain claims.
base::Result<ClaimBatch> DecodeBatch(std::string_view value);

// Returns the store key "poplarfork/claims/<shard>/<number>", with the shard as
// 2 and the entry number as 20 decimal digits.
std::string LogEntryKey(Shard shard, std::uint64_t entry_number);

}  // namespace poplarfork::claim
