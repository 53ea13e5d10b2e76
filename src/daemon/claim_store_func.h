#pragma once

#include "claim/action_type.h"
#include "daemon/daemon_type.h"

namespace poplarfork::daemon {

// Appends a batch of claims to a shard's claim log by creating its entry if the
// entry does not exist yet. The claim core gets the reply.
void AppendToClaimLog(Daemon& daemon, const claim::AppendBatch& action);

// Reads the entries of a shard's claim log from a given entry number on. The
// claim core gets the entries.
void ReadClaimLog(Daemon& daemon, const claim::ReadLog& action);

}  // namespace poplarfork::daemon
