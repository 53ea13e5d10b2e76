#pragma once

#include <vector>

#include "datagram/message_type.h"
#include "gateway/gateway_type.h"

namespace poplarfork::gateway {

// Replies to a Hello with a view update: what this daemon, as a store reader,
// knows and the sender `to` does not. One reply carries at most one batch of
// records. `unknown_member` tells the sender that the store does not list it as
// a member.
void ReplyToHello(Gateway& gateway,
                  const base::DaemonId& to,
                  const datagram::Hello& hello,
                  bool unknown_member);

// Handles a view update of a store reader: merges its records and fetches a
// newer configuration.
void OnViewUpdate(Gateway& gateway,
                  const base::DaemonId& from,
                  const datagram::ViewUpdate& update);

// Returns whether a list that is too long for one batch is being received.
bool IsReceivingList(const Gateway& gateway);

// Returns whether records are requested from `reader`. While a list is being
// received, records are requested only from the store reader that sends it,
// until that one times out.
bool RequestsRecordsFrom(const Gateway& gateway,
                         const base::DaemonId& reader,
                         base::TimePoint now);

// Send changes that were just read from the store to all members, if this
// daemon is the first store reader. Otherwise the members learn of the changes
// from the reply to their next Hello.
void AnnounceUpstreams(Gateway& gateway,
                       const std::vector<fleet::UpstreamRecord>& records);
void AnnounceMembers(Gateway& gateway,
                     const std::vector<fleet::MemberRecord>& records);
// Tells all members which configuration is in force, if this daemon is a store
// reader. Configurations change seldom and concern every request, so the
// members do not depend on the first reader alone.
void AnnounceConfiguration(Gateway& gateway);

}  // namespace poplarfork::gateway
