#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "clock/now_func.h"
#include "platform/configuration_func.h"
#include "tests/gateway/account_fixture.h"

namespace poplarfork::gateway {

namespace {

using std::chrono::milliseconds;

}  // namespace

// Guards against withdrawn keys that are still served on connections that were
// open before, and at a gateway that cannot read the store itself.
BOOST_FIXTURE_TEST_CASE(WithdrawnKeysStopOnOpenConnections, AccountFleet) {
  const CallerRequest request{.request_id = "r",
                              .authorization = Authorize(kAnnaKey),
                              .reuses_connection = true};
  for (const auto& gateway : this->gateways)
    BOOST_TEST(this->SendAndWait(*gateway, request).status == 200U);
  // Nothing listens at this address.
  this->gateways[1]->settings.store_address = "127.0.0.1:1";
  this->WithdrawKey(2);
  BOOST_REQUIRE(this->RunUntilVersion(2));
  for (const auto& gateway : this->gateways) {
    CallerRequest later = request;
    later.request_id = "later";
    const CallerResponse response = this->SendAndWait(*gateway, later);
    BOOST_TEST(response.status == 401U);
    BOOST_TEST(response.is_connection_reused);
    later.authorization = Authorize(kAnnaOtherKey);
    later.request_id = "other";
    const CallerResponse other_response = this->SendAndWait(*gateway, later);
    BOOST_TEST(other_response.status == 200U);
    BOOST_TEST(other_response.is_connection_reused);
  }
  BOOST_TEST(!this->HasRun("later"));
}

// Guards against requests that are sent to an upstream after they waited until
// their key was withdrawn, also at a gateway that cannot read the store itself,
// and against other requests that end with them.
BOOST_FIXTURE_TEST_CASE(WaitingRequestsEndWithTheirKey, AccountFleet) {
  this->FillSlots();
  std::vector<std::shared_ptr<CallerResponse>> withdrawn;
  std::vector<std::shared_ptr<CallerResponse>> kept;
  for (const auto& gateway : this->gateways) {
    const std::string name = gateway->settings.name;
    withdrawn.push_back(
        this->SendAndQueue(*gateway, {.request_id = "withdrawn-" + name,
                                      .authorization = Authorize(kAnnaKey)}));
    kept.push_back(this->SendAndQueue(
        *gateway,
        {.request_id = "kept-" + name, .authorization = Authorize(kBertKey)}));
    kept.push_back(
        this->SendAndQueue(*gateway, {.request_id = "public-" + name,
                                      .target = "/open/1",
                                      .authorization = Authorize(kAnnaKey)}));
  }
  this->gateways[1]->settings.store_address = "127.0.0.1:1";
  this->WithdrawKey(2);
  BOOST_REQUIRE(this->RunUntil([&] {
    return std::all_of(withdrawn.begin(), withdrawn.end(),
                       [](const auto& response) { return response->ended; });
  }));
  for (const auto& response : withdrawn) {
    BOOST_TEST(response->status == 401U);
    BOOST_TEST(response->body.find("key_withdrawn") != std::string::npos);
    BOOST_TEST(response->fields.find("WWW-Authenticate: Token") !=
               std::string::npos);
  }
  BOOST_REQUIRE(this->RunUntil([&] {
    return std::all_of(kept.begin(), kept.end(),
                       [](const auto& response) { return response->ended; });
  }));
  for (const auto& response : kept)
    BOOST_TEST(response->status == 200U);
  for (const auto& gateway : this->gateways)
    BOOST_TEST(!this->HasRun("withdrawn-" + gateway->settings.name));
}

// Guards against a request whose key was withdrawn while it was not waiting,
// for example because a connection to an upstream was being made.
BOOST_FIXTURE_TEST_CASE(KeysAreCheckedAgainAtTheGrant, AccountFleet) {
  this->FillSlots();
  Gateway& gateway = *this->gateways[0];
  const auto response = this->SendAndQueue(
      gateway,
      {.request_id = "withdrawn", .authorization = Authorize(kAnnaKey)});
  this->accounts->at("anna").keys = {kAnnaOtherKey};
  this->WriteConfiguration(2);
  auto parsed =
      platform::ParseConfiguration(this->store->items.at("op/config").value);
  BOOST_REQUIRE(parsed.has_value());
  // Put into force without the check of requests that wait.
  gateway.configuration =
      std::make_shared<const fleet::Configuration>(std::move(parsed.value()));
  BOOST_REQUIRE(this->RunUntil([&] { return response->ended; }));
  BOOST_TEST(response->status == 401U);
  BOOST_TEST(!this->HasRun("withdrawn"));
  // The slots that were granted in vain are free again.
  this->upstream->service_time = milliseconds(20);
  const CallerResponse next =
      this->SendAndWait(gateway, {.request_id = "next",
                                  .deadline_ms = "5000",
                                  .authorization = Authorize(kBertKey)});
  BOOST_TEST(next.status == 200U);
}

// Guards against upstreams that see the caller's key or an account that the
// caller made up because the request waited when the operator introduced
// accounts, and against callers that are refused although both configurations
// allow their requests.
BOOST_FIXTURE_TEST_CASE(WaitingRequestsGetAccountsWhenTheseAreIntroduced,
                        FleetWithoutAccounts) {
  this->FillSlots();
  Gateway& gateway = *this->gateways[0];
  const auto keyed =
      this->SendAndQueue(gateway, {.request_id = "keyed",
                                   .authorization = Authorize(kAnnaKey),
                                   .tenants = {"mallory"}});
  const auto keyless = this->SendAndQueue(
      gateway, {.request_id = "keyless", .tenants = {"anna"}});
  this->SetAccounts();
  this->WriteConfiguration(2);
  BOOST_REQUIRE(this->RunUntil([&] { return keyless->ended; }));
  BOOST_TEST(keyless->status == 401U);
  BOOST_REQUIRE(this->RunUntil([&] { return keyed->ended; }));
  BOOST_TEST(keyed->status == 200U);
  BOOST_TEST(this->RunField("Attempt-Id") == "keyed");
  BOOST_TEST(this->RunField("Tenant") == "anna");
  BOOST_TEST(this->RunField("Authorization") == "none");
  BOOST_TEST(!this->HasRun("keyless"));
}

// Guards against a public request that keeps a forged account because it waited
// when the operator introduced accounts.
BOOST_FIXTURE_TEST_CASE(WaitingPublicRequestsLoseForgedAccounts,
                        FleetWithoutAccounts) {
  this->FillSlots();
  const auto response = this->SendAndQueue(
      *this->gateways[0],
      {.request_id = "public", .target = "/open/1", .tenants = {"anna"}});
  this->SetAccounts();
  this->WriteConfiguration(2);
  BOOST_REQUIRE(this->RunUntil([&] { return response->ended; }));
  BOOST_TEST(response->status == 200U);
  BOOST_TEST(this->gateways[0]->configuration->version.value == 2U);
  BOOST_TEST(this->RunField("Attempt-Id") == "public");
  BOOST_TEST(this->RunField("Tenant") == "none");
}

// Guards against a gateway without contact that accepts keys although they may
// have been withdrawn, or that refuses them although the operator did not ask
// for it.
BOOST_FIXTURE_TEST_CASE(StrictGatewaysWithoutContactAcceptNoKeys,
                        AccountFleet) {
  Gateway& strict = *this->gateways[0];
  Gateway& lenient = *this->gateways[1];
  for (const auto& gateway : this->gateways)
    gateway->settings.key_revocation_limit = milliseconds(500);
  strict.settings.strict_key_revocation = true;
  standin::SetPlatformStoreMode(*this->store,
                                standin::PlatformStoreMode::kUnavailable);
  const CallerRequest keyed{.request_id = "keyed",
                            .authorization = Authorize(kAnnaKey)};
  BOOST_REQUIRE(this->RunUntil([&] {
    return clock::Now() - strict.freshness.confirmed_at > milliseconds(500) &&
           clock::Now() - lenient.freshness.confirmed_at > milliseconds(500);
  }));
  const CallerResponse refused = this->SendAndWait(strict, keyed);
  BOOST_TEST(refused.status == 503U);
  BOOST_TEST(refused.body.find("keys_not_confirmed") != std::string::npos);
  BOOST_TEST(!refused.retry_after.empty());
  BOOST_TEST(!this->HasRun("keyed"));
  BOOST_TEST(this->SendAndWait(strict, {.request_id = "keyless"}).status ==
             401U);
  BOOST_TEST(
      this->SendAndWait(strict, {.request_id = "public", .target = "/open/1"})
          .status == 200U);
  BOOST_TEST(this->SendAndWait(lenient, keyed).status == 200U);
  standin::SetPlatformStoreMode(*this->store,
                                standin::PlatformStoreMode::kNormal);
  BOOST_REQUIRE(this->RunUntil([&] {
    return clock::Now() - strict.freshness.confirmed_at < milliseconds(250);
  }));
  BOOST_TEST(this->SendAndWait(strict, keyed).status == 200U);
}

}  // namespace poplarfork::gateway
