#pragma once

#include <optional>

#include "allowance/balances_type.h"
#include "allowance/due_asks_type.h"
#include "allowance/token_grant_type.h"

namespace poplarfork::allowance {

// These functions keep the accounts to their rate limits at the dispatchers.
// The load pattern that this handles is an account that sends several times its
// limit through all gateways at once: the excess must be refused before it
// takes slots from others, without a message per request.

// Returns the limit of an account; the rate is 0 if there is none.
fleet::AccountLimit FindLimit(const AccountTable& accounts,
                              const base::AccountId& account);

// Takes a token for a first attempt. Returns nothing if it may proceed.
// Otherwise takes none and returns the time after which the caller should try
// again. `jitter`, a random number from 0 to 1, spreads the callers over the
// time in which the refused requests could be served.
std::optional<base::Duration> TakeToken(Balances& balances,
                                        const base::AccountId& account,
                                        base::TimePoint now,
                                        double jitter);

// Gives back the token of a request that certainly has not run and will not.
void GiveBackToken(Balances& balances, const base::AccountId& account);

// Returns when TakeDueAsks() has something to do; TimePoint::max() if never.
base::TimePoint NextWakeUp(const Balances& balances);

// Returns the asks that are due, and counts them as sent.
DueAsks TakeDueAsks(Balances& balances, base::TimePoint now);

// Applies the reply to an open ask. A reply that arrives twice or belongs to an
// earlier ask is ignored.
void OnTokenGrant(Balances& balances,
                  const TokenGrant& grant,
                  base::TimePoint now);

}  // namespace poplarfork::allowance
