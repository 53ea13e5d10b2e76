#pragma once

#include "base/time_type.h"
#include "fleet.pb.h"
#include "fleet/member_type.h"
#include "fleet/upstream_entry_type.h"

namespace poplarfork::datagram {

// Write a record of a view update.
void EncodeMemberRecord(proto::FleetMember& body,
                        const fleet::MemberRecord& record);
void EncodeUpstreamRecord(proto::FleetUpstream& body,
                          const fleet::UpstreamRecord& record,
                          base::TimePoint now);

// Read a record of a view update that is received at `now`.
fleet::MemberRecord DecodeMemberRecord(const proto::FleetMember& body,
                                       base::TimePoint now);
fleet::UpstreamRecord DecodeUpstreamRecord(const proto::FleetUpstream& body,
                                           base::TimePoint now);

}  // namespace poplarfork::datagram
