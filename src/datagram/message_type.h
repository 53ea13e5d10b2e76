#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "allowance/token_ask_type.h"
#include "allowance/token_grant_type.h"
#include "dispatch/crash_record_type.h"
#include "dispatch/handover_type.h"
#include "dispatch/message_type.h"
#include "fleet/member_type.h"
#include "fleet/upstream_entry_type.h"

namespace poplarfork::datagram {

// A daemon tells a reader of the store that it is alive and up to which
// revision it knows the records. On the wire this is FleetHello.
struct Hello {
  fleet::StoreRevision as_of;
  fleet::ConfigurationVersion configuration_version;
  bool accepting = false;
  bool store_stale = false;
  // While the daemon receives a complete list: the revision up to which it has
  // received the records.
  fleet::StoreRevision list_received_up_to;
  // The reader should send no records because another reader sends them.
  bool without_records = false;
  // Era of the store that the daemon knows of.
  fleet::StoreEra era;
  // The reader should send the upstreams that are withheld from requests.
  bool wants_withheld = false;
};

// A reader of the store sends the records that the receiver does not know yet,
// in one or more datagrams. On the wire this is FleetNews.
struct ViewUpdate {
  // The records that changed after this revision are sent.
  fleet::StoreRevision since;
  // A receiver that has all parts knows all changes up to this revision.
  fleet::StoreRevision as_of;
  // Index of this part and number of parts. The number is 0 in an announcement,
  // which sends changed records at once and does not complete any range of
  // revisions.
  std::uint32_t part_index = 0;
  std::uint32_t part_count = 0;
  // The update belongs to the transfer of a complete list: the parts of all its
  // batches together name every upstream and member.
  bool is_full_list = false;
  // There are records with later changes.
  bool more = false;
  fleet::ConfigurationVersion configuration_version;
  bool store_stale = false;
  // Time since which the sender has not read the store; empty if it never has.
  std::optional<base::Duration> read_age;
  // The member list in the store does not name the receiver.
  bool unknown_member = false;
  std::vector<fleet::MemberRecord> members;
  std::vector<fleet::UpstreamRecord> upstreams;
  // Members that the reader cannot reach or that accept no requests. Valid only
  // if `has_unavailable` is set.
  std::vector<base::DaemonId> unavailable;
  bool has_unavailable = false;
  // Era of the store that the sender knows of.
  fleet::StoreEra era;
};

using Message = std::variant<Hello,
                             ViewUpdate,
                             dispatch::SlotRequest,
                             dispatch::Grant,
                             dispatch::QueuedNotice,
                             dispatch::Refusal,
                             dispatch::AttemptReport,
                             dispatch::Withdrawal,
                             dispatch::ShardDigest,
                             dispatch::CrashNotices,
                             allowance::TokenAsks,
                             allowance::TokenGrants>;

}  // namespace poplarfork::datagram
