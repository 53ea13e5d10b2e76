#include "gateway/account_driver.h"

#include <vector>

#include "clock/now_func.h"
#include "fleet/client_account_func.h"
#include "fleet/configuration_func.h"
#include "gateway/rejection_driver.h"
#include "gateway/request_action_driver.h"
#include "platform/request_func.h"
#include "request/waiting_func.h"

namespace poplarfork::gateway {

namespace {

namespace http = boost::beast::http;

// Returns whether a request without an account is admitted, by the route as it
// was when the request arrived or as it is now.
bool IsPublic(const Gateway& gateway, const ActiveRequest& active_request) {
  if (active_request.is_public)
    return true;
  const auto host = active_request.http_request[http::field::host];
  const auto target = active_request.http_request.target();
  const fleet::Route* route =
      fleet::FindRoute(*gateway.configuration, {host.data(), host.size()},
                       {target.data(), target.size()});
  return route && route->is_public;
}

}  // namespace

std::optional<AccountAdmission> AdmitAccount(Gateway& gateway,
                                             edge::Exchange& caller_exchange,
                                             edge::HttpRequest& http_request,
                                             const fleet::Route& route) {
  if (!gateway.configuration->has_accounts)
    return AccountAdmission{};
  const fleet::Credential credential = platform::TakeCredential(http_request);
  const bool may_decide =
      credential.state != fleet::CredentialState::kPresent ||
      fleet::MayDecideOnKeys(gateway.freshness.confirmed_at,
                             gateway.settings.strict_key_revocation,
                             gateway.settings.key_revocation_limit,
                             clock::Now());
  if (!may_decide) {
    RejectRequest(gateway, caller_exchange, http_request,
                  http::status::service_unavailable, "keys_not_confirmed");
    return std::nullopt;
  }
  const fleet::AccountDecision decision =
      fleet::DecideAccount(*gateway.configuration, route.is_public, credential);
  if (decision.result != fleet::AccountResult::kAllowed) {
    RejectRequest(gateway, caller_exchange, http_request,
                  http::status::unauthorized,
                  fleet::AccountResultName(decision.result));
    return std::nullopt;
  }
  return AccountAdmission{credential, decision.account};
}

bool RenewAccount(const Gateway& gateway, ActiveRequest& active_request) {
  if (!gateway.configuration->has_accounts)
    return true;
  if (!active_request.credential)
    active_request.credential =
        platform::TakeCredential(active_request.http_request);
  const fleet::AccountDecision decision = fleet::DecideAccount(
      *gateway.configuration, false, *active_request.credential);
  if (decision.account) {
    active_request.state.arrival.account = decision.account->id;
    return true;
  }
  if (!IsPublic(gateway, active_request))
    return false;
  active_request.state.arrival.account = {};
  return true;
}

void RenewAccounts(Gateway& gateway) {
  std::vector<request::RequestNumber> withdrawn;
  for (const auto& [number, active_request] : gateway.requests) {
    if (!RenewAccount(gateway, *active_request))
      withdrawn.push_back(number);
  }
  for (const request::RequestNumber number : withdrawn) {
    if (ActiveRequest* active_request = FindActiveRequest(gateway, number))
      ExecuteRequestActions(
          gateway, number,
          request::EndWaiting(active_request->state,
                              request::Failure::kKeyWithdrawn));
  }
}

}  // namespace poplarfork::gateway
