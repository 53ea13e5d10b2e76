#pragma once

#include <string>
#include <variant>
#include <vector>

#include "dispatch/message_type.h"
#include "fleet/member_type.h"
#include "fleet/upstream_entry_type.h"

namespace poplarfork::datagram {

// A daemon tells a reader of the store that it lives and what it knows.
struct Hello {
  fleet::StoreRevision as_of;
  fleet::ConfigurationVersion configuration;
  bool accepting = false;
  bool store_stale = false;
  // Records of a whole list that have been received, up to this revision.
  fleet::StoreRevision listed_to;
  // Another reader sends the records.
  bool without_records = false;
};

// What a reader of the store knows beyond that, in one or more datagrams.
struct News {
  // Records with later changes than this one are meant.
  fleet::StoreRevision since;
  // With all parts, the receiver knows all changes up to this revision.
  fleet::StoreRevision as_of;
  // Number of this part and of all parts; no parts in an announcement, which
  // completes nothing.
  std::uint32_t part = 0;
  std::uint32_t parts = 0;
  // The parts of all batches together name every upstream and member.
  bool is_full = false;
  // There are records with later changes.
  bool more = false;
  fleet::ConfigurationVersion configuration;
  bool store_stale = false;
  // The store's list does not name the receiver.
  bool unknown_member = false;
  std::vector<fleet::MemberRecord> members;
  std::vector<fleet::UpstreamRecord> upstreams;
  // Members that the reader does not reach or that take no requests; valid if
  // `has_unavailable`.
  std::vector<base::DaemonId> unavailable;
  bool has_unavailable = false;
};

using Message = std::variant<Hello,
                             News,
                             dispatch::Ask,
                             dispatch::Grant,
                             dispatch::Waiting,
                             dispatch::Refusal,
                             dispatch::Report,
                             dispatch::Withdrawal>;

}  // namespace poplarfork::datagram
