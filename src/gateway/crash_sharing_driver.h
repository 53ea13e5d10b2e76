#pragma once

#include "dispatch/crash_record_type.h"
#include "gateway/gateway_type.h"

namespace poplarfork::gateway {

// Tells all other daemons soon what this dispatcher has counted of requests
// that crash upstreams, if it has not told them yet.
void ShareCrashRecords(Gateway& gateway);

// Sends the records of requests that are refused to one daemon.
void SendCrashRecords(Gateway& gateway, const base::DaemonId& to);

// Sends them to a daemon drawn at random, which repairs lost datagrams.
void GossipCrashRecords(Gateway& gateway);

// Handles the notices of another daemon.
void OnCrashNotices(Gateway& gateway,
                    const base::DaemonId& from,
                    const dispatch::CrashNotices& notices);

}  // namespace poplarfork::gateway
