#pragma once

#include <string_view>

#include "fleet/account_decision_type.h"
#include "fleet/configuration_type.h"
#include "fleet/credential_type.h"

namespace poplarfork::fleet {

// Returns the digest of a key, which is the same on every daemon.
KeyDigest ComputeKeyDigest(std::string_view key);

// Adds a key of `account`, which belongs to `configuration`. Returns the other
// account if it already has this key; the index is then unchanged. Returns null
// if the key was added or belonged to `account` before.
const ClientAccount* AddAccountKey(Configuration& configuration,
                                   const ClientAccount& account,
                                   std::string_view key);

// Decides for which client account a request of a caller is served, or why it
// is refused. Requests of a public route need no key, and one that names no
// account is served without an account.
AccountDecision DecideAccount(const Configuration& configuration,
                              bool is_public,
                              const Credential& credential);

// Returns the name of a result in logs, metrics and response bodies.
const char* AccountResultName(AccountResult result);

// Returns the priority of a request in the dispatchers' queues. That of the
// account, which may be null, goes before that of the route.
std::uint32_t EffectivePriority(const Route& route,
                                const ClientAccount* account);

// Returns whether a daemon whose view was last confirmed at `confirmed_at` may
// decide on keys: another daemon may have heard of a withdrawn key since. With
// strict revocation this ends after `limit`, unless that is 0.
bool MayDecideOnKeys(base::TimePoint confirmed_at,
                     bool is_strict,
                     base::Duration limit,
                     base::TimePoint now);

}  // namespace poplarfork::fleet
