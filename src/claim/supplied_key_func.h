#pragma once

#include <string_view>

#include "base/ids_type.h"
#include "claim/run_key_type.h"

namespace poplarfork::claim {

// Returns the identity of the work that `account` sends with `key`.
RunKey SuppliedRunKey(const base::AccountId& account, std::string_view key);

// Returns the shard whose log contains the claims of the work.
Shard ShardOf(const base::AccountId& account, std::string_view key);

}  // namespace poplarfork::claim
