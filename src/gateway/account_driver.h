#pragma once

#include <optional>

#include "edge/exchange.h"
#include "gateway/account_admission_type.h"
#include "gateway/gateway_type.h"

namespace poplarfork::gateway {

// Finds the client account of a caller's request and removes the key from the
// request. Returns nothing if the request was rejected.
std::optional<AccountAdmission> AdmitAccount(Gateway& gateway,
                                             edge::Exchange& caller_exchange,
                                             edge::HttpRequest& http_request,
                                             const fleet::Route& route);

// Finds the client account of an active request again, by the configuration in
// force. Returns whether a request with its key would be admitted now; if not,
// the request keeps its account.
bool RenewAccount(const Gateway& gateway, ActiveRequest& active_request);

// Renews the accounts of all active requests after a configuration was put into
// force. Requests that are still waiting end if their keys were withdrawn.
void RenewAccounts(Gateway& gateway);

}  // namespace poplarfork::gateway
