#pragma once

#include "allowance/token_ask_type.h"
#include "allowance/token_grant_type.h"
#include "gateway/gateway_type.h"

namespace poplarfork::gateway {

// Puts the rate limits of the configuration in force into effect.
void InstallAccountLimits(Gateway& gateway);

// Arms the timer that asks the owners of accounts for tokens, if the dispatcher
// needs some.
void ArmAllowanceTimer(Gateway& gateway);

// Updates the buckets of the accounts that this daemon owns. It is called at
// the interval of the Hellos.
void MaintainAllowance(Gateway& gateway);

// Handles the asks of a dispatcher.
void OnTokenAsks(Gateway& gateway,
                 const base::DaemonId& from,
                 const allowance::TokenAsks& asks);

// Handles the replies of an owner.
void OnTokenGrants(Gateway& gateway, const allowance::TokenGrants& grants);

}  // namespace poplarfork::gateway
