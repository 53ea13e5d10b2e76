#pragma once

#include <vector>

#include "datagram/message_type.h"
#include "gateway/gateway_type.h"

namespace poplarfork::gateway {

// Sends what the reader of the store knows beyond `hello`, one batch of records
// at a time. `unknown_member` says that the store's list does not name `to`.
void AnswerHello(Gateway& gateway,
                 const base::DaemonId& to,
                 const datagram::Hello& hello,
                 bool unknown_member);

// Takes over what a reader of the store sent.
void OnNews(Gateway& gateway,
            const base::DaemonId& from,
            const datagram::News& news);

// Tells whether a list is being received in parts.
bool IsCatchingUp(const Gateway& gateway);

// Tells whether `reader` is asked for records: while a list is being received,
// only the reader that sends it.
bool GetsListFrom(const Gateway& gateway,
                  const base::DaemonId& reader,
                  base::TimePoint now);

// Tells all members of changes that were just read from the store, if this
// daemon is the first reader; otherwise they learn of them with the answer to
// their next hello.
void AnnounceUpstreams(Gateway& gateway,
                       const std::vector<fleet::UpstreamRecord>& records);
void AnnounceMembers(Gateway& gateway,
                     const std::vector<fleet::MemberRecord>& records);
void AnnounceConfiguration(Gateway& gateway);

}  // namespace poplarfork::gateway
