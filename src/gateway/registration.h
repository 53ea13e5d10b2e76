#pragma once

#include "gateway/gateway_type.h"

namespace poplarfork::gateway {

// Writes the member entry of this daemon into the store under a lease and keeps
// renewing the lease.
void StartRegistration(Gateway& gateway);

// Registers this daemon again after the store was found not to list it any
// more, unless the last registration is too recent or the daemon drains.
void RestartRegistration(Gateway& gateway);

// Gives up the lease and registers this daemon at once, because the store is in
// a new era. The id of the lease may then belong to another client, so it is
// neither renewed nor revoked.
void RestartRegistrationInNewEra(Gateway& gateway);

// Stops renewing the lease and revokes it, which removes the member entry of
// this daemon from the store. Called before the process ends.
void Unregister(Gateway& gateway);

}  // namespace poplarfork::gateway
