#pragma once

#include "allowance/balance_type.h"

namespace poplarfork::allowance {

// Returns the number of tokens by which the balance may go below zero, so that
// no request waits for the owner.
double OverdraftLimit(const Balance& balance);

// Returns the number of tokens that the balance should hold.
double TargetTokens(const Balance& balance);

// Tells whether the dispatcher should ask for tokens.
bool NeedsTokens(const Balance& balance);

// Returns the tokens that exceed the demand and should be returned.
double SurplusTokens(const Balance& balance, base::TimePoint now);

// Tells whether the account has sent no requests lately, and whether it has not
// for so long that the balance is forgotten even if it is below zero.
bool IsIdle(const Balance& balance, base::TimePoint now);
bool IsForgotten(const Balance& balance, base::TimePoint now);

// Lets the smoothed rates decay to `now`.
void DecayRates(Balance& balance, base::TimePoint now);

// Counts a request, and a refusal.
void CountRequest(Balance& balance, base::TimePoint now);
void CountRefusal(Balance& balance);

// Adds the dispatcher's part of the limit while no owner can be reached.
void RefillWithoutOwner(Balance& balance,
                        std::size_t known_members,
                        base::TimePoint now);

// Tells whether no owner can be reached.
bool IsWithoutOwner(const Balance& balance);

// Returns the time after which a refused caller should try again.
base::Duration ComputeRetryAfter(const Balance& balance,
                                 base::TimePoint now,
                                 double jitter);

// Returns the time after which an open ask is repeated.
base::Duration AskTimeout(const Balance& balance);

// Returns when the balance next has something to do.
base::TimePoint NextWakeUp(const Balance& balance, base::TimePoint now);

}  // namespace poplarfork::allowance
