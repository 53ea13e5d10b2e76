#include <boost/test/unit_test.hpp>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "tests/gateway/account_fixture.h"
#include "tests/support/log_capture.h"

namespace poplarfork::gateway {

// Guards against requests without a valid key that run, and against a caller
// that is told nothing it can act on.
BOOST_FIXTURE_TEST_CASE(RequestsWithoutAValidKeyDoNotRun, AccountFleet) {
  const std::pair<std::vector<std::string>, const char*> cases[] = {
      {{}, "key_missing"},
      {{"Token " + kUnknownKey}, "key_unknown"},
      {{"Token " + kAnnaKey + "x"}, "key_unknown"},
      {{"Bearer " + kAnnaKey}, "key_malformed"},
      {{kAnnaKey}, "key_malformed"},
      {{"Token"}, "key_malformed"},
      {{""}, "key_malformed"},
      {{"Token " + kAnnaKey, "Token " + kAnnaKey}, "key_duplicate"},
      {{"Token " + kAnnaKey, "Token " + kBertKey}, "key_duplicate"},
      {{"Token " + kAnnaKey + ", Token " + kBertKey}, "key_unknown"},
  };
  int next_number = 0;
  for (const auto& [authorization, reason] : cases) {
    for (const bool is_order : {false, true}) {
      const std::string id = "r" + std::to_string(next_number++);
      const CallerResponse response = this->SendAndWait(
          *this->gateways[next_number % 2], {.request_id = id,
                                             .is_order = is_order,
                                             .authorization = authorization,
                                             .tenants = {"anna"}});
      BOOST_TEST_CONTEXT(reason) {
        BOOST_TEST(response.status == 401U);
        BOOST_TEST(response.body.find(reason) != std::string::npos,
                   response.body);
        BOOST_TEST(response.fields.find("WWW-Authenticate: Token") !=
                       std::string::npos,
                   response.fields);
        BOOST_TEST(!this->HasRun(id));
      }
    }
  }
  BOOST_TEST(this->upstream->run_counts.empty());
  const CallerResponse unknown_route = this->SendAndWait(
      *this->gateways[0], {.request_id = "n", .target = "/no/"});
  BOOST_TEST(unknown_route.status == 404U);
}

// Guards against upstreams that see a key, or that trust an account which the
// caller made up.
BOOST_FIXTURE_TEST_CASE(UpstreamsSeeTheNameOfTheAccount, AccountFleet) {
  struct Case {
    const char* target;
    std::vector<std::string> authorization;
    const char* account;
  };
  const Case cases[] = {
      {"/look/1", Authorize(kAnnaKey), "anna"},
      {"/look/1", Authorize(kAnnaOtherKey), "anna"},
      {"/look/1", Authorize(kBertKey), "bert"},
      {"/open/1", Authorize(kAnnaKey), "anna"},
      {"/open/1", {}, "none"},
      {"/open/1", Authorize(kUnknownKey), "none"},
      {"/open/1", {kAnnaKey}, "none"},
      {"/open/1", {"Token " + kAnnaKey, "Token " + kBertKey}, "none"},
  };
  int next_number = 0;
  for (const auto& gateway : this->gateways) {
    for (const Case& request_case : cases) {
      for (const std::vector<std::string>& tenants :
           {std::vector<std::string>{}, {"mallory"}, {"mallory", "bert"}}) {
        const std::string id = "r" + std::to_string(next_number++);
        const CallerResponse response = this->SendAndWait(
            *gateway, {.request_id = id,
                       .target = request_case.target,
                       .authorization = request_case.authorization,
                       .tenants = tenants});
        BOOST_TEST_CONTEXT(id << " for " << request_case.account) {
          BOOST_TEST(response.status == 200U);
          BOOST_TEST(this->RunField("Attempt-Id") == id);
          BOOST_TEST(this->RunField("Tenant") == request_case.account);
          BOOST_TEST(this->upstream->last_run_head.count("Tenant") <= 1U);
          BOOST_TEST(this->RunField("Authorization") == "none");
        }
      }
    }
  }
}

// Guards against deployments without accounts whose callers need a key, or
// whose upstreams no longer get the callers' fields.
BOOST_FIXTURE_TEST_CASE(FieldsPassUnchangedWithoutAccounts,
                        FleetWithoutAccounts) {
  const CallerResponse without_fields =
      this->SendAndWait(*this->gateways[0], {.request_id = "a"});
  BOOST_TEST(without_fields.status == 200U);
  BOOST_TEST(this->RunField("Tenant") == "none");
  const CallerResponse with_fields =
      this->SendAndWait(*this->gateways[0], {.request_id = "b",
                                             .authorization = {"Basic x", "y"},
                                             .tenants = {"mallory"}});
  BOOST_TEST(with_fields.status == 200U);
  BOOST_TEST(this->RunField("Tenant") == "mallory");
  BOOST_TEST(this->upstream->last_run_head.count("Authorization") == 2U);
  BOOST_TEST(this->RunField("Authorization") == "Basic x");
}

// Guards against the account and the priority of a request that get lost on the
// way to the dispatcher, at which more urgent accounts go first.
BOOST_FIXTURE_TEST_CASE(DispatchersHearOfAccountAndPriority, AccountFleet) {
  this->FillSlots();
  for (const auto& gateway : this->gateways) {
    const std::string name = gateway->settings.name;
    this->SendAndQueue(*gateway, {.request_id = "anna-" + name,
                                  .authorization = Authorize(kAnnaKey)});
    this->SendAndQueue(*gateway, {.request_id = "bert-" + name,
                                  .authorization = Authorize(kBertKey)});
  }
  std::map<std::string, int> queued;
  for (const auto& gateway : this->gateways) {
    for (const auto& [shard, state] : gateway->dispatcher.shards) {
      for (const auto& queued_request : state.queue) {
        const dispatch::SlotRequest& slot_request = queued_request.slot_request;
        const std::string& account = slot_request.account.value;
        ++queued[account];
        BOOST_TEST(slot_request.priority == (account == "anna" ? 0U : 1U));
        BOOST_TEST(slot_request.work_class.priority == 1U);
      }
    }
  }
  BOOST_TEST(queued["anna"] == 2);
  BOOST_TEST(queued["bert"] == 2);
}

// Guards against keys in logs, metrics and responses, and against an invalid
// configuration that replaces the accounts in force.
BOOST_FIXTURE_TEST_CASE(KeysAreNotShown, AccountFleet) {
  std::string shown;
  {
    const support::LogCapture logs;
    const std::vector<std::string> values[] = {
        Authorize(kAnnaKey),
        Authorize(kUnknownKey),
        {kAnnaKey},
        {"Token " + kAnnaKey, "Token " + kBertKey}};
    int next_number = 0;
    for (const auto& authorization : values) {
      for (const char* target : {"/look/1", "/open/1", "/no/1"}) {
        const CallerResponse response = this->SendAndWait(
            *this->gateways[0], {.request_id = std::to_string(next_number++),
                                 .target = target,
                                 .authorization = authorization});
        shown += response.fields + response.body;
      }
    }
    this->upstream->fault = standin::PlatformUpstreamFault::kReset;
    const CallerResponse failed = this->SendAndWait(
        *this->gateways[0], {.request_id = "failed",
                             .is_order = true,
                             .authorization = Authorize(kAnnaKey)});
    BOOST_TEST(failed.status == 502U);
    shown += failed.fields + failed.body;
    this->upstream->fault = standin::PlatformUpstreamFault::kNone;
    this->accounts->at("bert").keys = {kAnnaKey};
    this->WriteConfiguration(2);
    BOOST_REQUIRE(this->RunUntil([&] {
      return logs.Text().find("configuration_unreadable") != std::string::npos;
    }));
    this->SetAccounts();
    this->WithdrawKey(3);
    BOOST_REQUIRE(this->RunUntilVersion(3));
    shown +=
        this->Get(this->gateways[0]->settings.control_address, "/metrics").body;
    shown += logs.Text();
  }
  BOOST_TEST(shown.find("key_unknown") != std::string::npos);
  BOOST_TEST(shown.find("is also a key of account") != std::string::npos);
  BOOST_TEST(shown.find("attempt_failed") != std::string::npos);
  BOOST_TEST(shown.find(kKeyMark) == std::string::npos);
}

// Guards against invalid accounts that end the service of valid keys.
BOOST_FIXTURE_TEST_CASE(InvalidAccountsLeaveTheOldOnesInForce, AccountFleet) {
  this->accounts->at("bert").keys = {kAnnaKey};
  this->WriteConfiguration(2);
  BOOST_REQUIRE(this->RunUntil([this] {
    return this->gateways[0]->metrics.counters.contains(
        "configurations_unreadable_total");
  }));
  BOOST_TEST(this->gateways[0]->configuration->version.value == 1U);
  for (const std::string& key : {kAnnaKey, kBertKey})
    BOOST_TEST(
        this->SendAndWait(*this->gateways[0],
                          {.request_id = key, .authorization = Authorize(key)})
            .status == 200U);
}

}  // namespace poplarfork::gateway
