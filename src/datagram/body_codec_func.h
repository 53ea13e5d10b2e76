#pragma once

#include <cstdint>
#include <optional>

#include "allowance/token_ask_type.h"
#include "allowance/token_grant_type.h"
#include "base/time_type.h"
#include "datagram/message_type.h"
#include "dispatch/crash_record_type.h"
#include "fleet.pb.h"

namespace poplarfork::datagram {

// Converts a duration to the microseconds of a message; a negative one is
// written as zero.
std::uint64_t ToMicroseconds(base::Duration duration);

// Converts the microseconds of a message to a duration. Larger values than
// those of any request are malformed and are reduced.
base::Duration ToDuration(std::uint64_t microseconds);

// Returns the limit that an upstream states; nothing if it states none or it is
// malformed.
std::optional<double> DecodeRateLimit(bool has_limit, double per_second);

// Write the body of a datagram.
void EncodeBody(proto::FleetDatagram& out,
                const dispatch::CrashNotices& notices,
                base::TimePoint now);
void EncodeBody(proto::FleetDatagram& out,
                const allowance::TokenAsks& asks,
                base::TimePoint now);
void EncodeBody(proto::FleetDatagram& out,
                const allowance::TokenGrants& grants,
                base::TimePoint now);

// Read the body of a datagram.
Message DecodeBody(const proto::FleetCrashes& body);
Message DecodeBody(const proto::FleetTokenAsk& body);
Message DecodeBody(const proto::FleetTokenGrant& body);

}  // namespace poplarfork::datagram
