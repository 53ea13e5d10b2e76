#pragma once

#include "gateway/gateway_type.h"

namespace poplarfork::gateway {

// These functions handle the messages for the dispatcher of this daemon. `from`
// is the daemon that sent the message.
void OnSlotRequestMessage(Gateway& gateway,
                          const base::DaemonId& from,
                          const dispatch::SlotRequest& slot_request);
void OnAttemptReportMessage(Gateway& gateway,
                            const base::DaemonId& from,
                            const dispatch::AttemptReport& attempt_report);
void OnWithdrawalMessage(Gateway& gateway,
                         const base::DaemonId& from,
                         const dispatch::Withdrawal& withdrawal);

// Merges the record of an upstream into the view and passes it to the
// dispatcher. `source` says in the log where the record comes from. Returns
// whether the record changed the view.
bool ApplyUpstreamRecord(Gateway& gateway,
                         const fleet::UpstreamRecord& record,
                         const char* source);

// Handles a digest from the dispatcher of a shard for which this daemon is the
// next in rank.
void OnDigestMessage(Gateway& gateway,
                     const base::DaemonId& from,
                     const dispatch::ShardDigest& digest);

// Sends a digest of each shard that this daemon dispatches for to the daemon
// that would take over.
void SendDigests(Gateway& gateway);

// Remembers what an upstream has said about further requests, in the response
// to the caller's request `request_id`, or to a health probe if this is empty.
void LearnNotice(Gateway& gateway,
                 const base::UpstreamId& upstream,
                 const dispatch::UpstreamNotice& notice,
                 const std::string& request_id);

// Returns what the upstream has said about further requests of this daemon.
dispatch::UpstreamNotice KnownNotice(const Gateway& gateway,
                                     const base::UpstreamId& upstream);

}  // namespace poplarfork::gateway
