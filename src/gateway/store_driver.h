#pragma once

#include "gateway/gateway_type.h"

namespace poplarfork::gateway {

// Registers this daemon in the store and reads the upstreams, the members and
// the configuration once. Goes on reading changes if this daemon is a store
// reader.
void StartStoreClient(Gateway& gateway);

// Starts to read changes from the store, unless this daemon does so already. It
// reads as long as it is a store reader, which is a daemon that reads the store
// and passes the changes on to the other daemons.
void EnsureReading(Gateway& gateway);

// Reads only the configuration from the store. Tries again later if this fails.
void ReadConfigurationFromStore(Gateway& gateway);

// Logs a change of what is known about a member. `source` says where the change
// comes from.
void LogMember(Gateway& gateway,
               const fleet::MemberRecord& record,
               const char* source);

}  // namespace poplarfork::gateway
