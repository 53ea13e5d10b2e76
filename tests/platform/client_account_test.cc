#include <malloc.h>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

#include "base/error_func.h"
#include "fleet/client_account_func.h"
#include "platform/configuration_func.h"
#include "platform/json_func.h"
#include "platform/request_func.h"

namespace poplarfork::platform {

namespace {

namespace http = boost::beast::http;
using fleet::CredentialState;
using NlohmannJson = nlohmann::json;
using std::chrono::milliseconds;

constexpr const char* kSecretKey = "secret-key-4711";

NlohmannJson MakeRoute(const std::string& prefix) {
  return {{"host", "f.example"},
          {"pathPrefix", prefix},
          {"routeType", "idempotent"},
          {"timeout", "3000ms"},
          {"targetLatency", "1500ms"},
          {"priority", 2},
          {"service", "s"},
          {"maxAttempts", 2}};
}

NlohmannJson MakeConfiguration() {
  return {{"version", 7},
          {"routes", {{"look", MakeRoute("/look/")}}},
          {"services",
           {{"s", {{"healthPath", "/health"}, {"maxConnections", 330}}}}}};
}

// Returns a configuration with one account whose member `name` has the given
// value.
NlohmannJson MakeConfigurationWith(const char* name,
                                   const NlohmannJson& value) {
  NlohmannJson configuration = MakeConfiguration();
  configuration["tenants"]["a"] = {{"apiKeys", {kSecretKey}}};
  configuration["tenants"]["a"][name] = value;
  return configuration;
}

const fleet::ClientAccount* FindAccount(
    const fleet::Configuration& configuration,
    const std::string& key) {
  return fleet::DecideAccount(
             configuration, false,
             {CredentialState::kPresent, fleet::ComputeKeyDigest(key)})
      .account;
}

fleet::Credential TakeCredentialOf(const std::vector<std::string>& values) {
  edge::HttpRequest request(http::verb::get, "/look/1", 11);
  for (const std::string& value : values)
    request.insert(http::field::authorization, value);
  const fleet::Credential credential = TakeCredential(request);
  BOOST_TEST(request.count(http::field::authorization) == 0U);
  return credential;
}

}  // namespace

// Guards against accounts whose keys, priorities or limits are not taken over.
BOOST_AUTO_TEST_CASE(AccountsAreDecoded) {
  NlohmannJson json = MakeConfiguration();
  json["routes"]["look"]["public"] = true;
  json["routes"]["order"] = MakeRoute("/order/");
  json["tenants"] = {
      {"first", {{"apiKeys", {"one", "uno"}}, {"priority", 0}, {"later", 1}}},
      {"second", {{"apiKeys", {"two"}}, {"ratePerS", 2.5}, {"burst", 10}}},
      {"third", {{"apiKeys", NlohmannJson::array()}, {"priority", nullptr}}}};
  const auto parsed = ParseConfiguration(json.dump());
  BOOST_REQUIRE(parsed.has_value());
  const fleet::Configuration& configuration = parsed.value();
  BOOST_TEST(configuration.has_accounts);
  BOOST_TEST(configuration.accounts.size() == 3U);
  BOOST_TEST(FindAccount(configuration, "one")->id.value == "first");
  BOOST_TEST(FindAccount(configuration, "uno")->id.value == "first");
  BOOST_TEST(FindAccount(configuration, "two")->id.value == "second");
  BOOST_TEST(!FindAccount(configuration, "three"));
  const auto& first = configuration.accounts.at({"first"});
  BOOST_TEST((first.priority == 0U));
  BOOST_TEST((first.limit == fleet::AccountLimit{}));
  const auto& second = configuration.accounts.at({"second"});
  BOOST_TEST(!second.priority.has_value());
  BOOST_TEST((second.limit == fleet::AccountLimit{2.5, 10}));
  BOOST_TEST(!configuration.accounts.at({"third"}).priority.has_value());
  for (const fleet::Route& route : configuration.routes_by_host.at("f.example"))
    BOOST_TEST(route.is_public == (route.name == "look"));
}

// Guards against keys that are required of all callers, or of none, because an
// empty list of accounts is mistaken for a missing one.
BOOST_AUTO_TEST_CASE(EmptyAccountsDifferFromNone) {
  NlohmannJson json = MakeConfiguration();
  BOOST_TEST(!ParseConfiguration(json.dump()).value().has_accounts);
  json["tenants"] = nullptr;
  BOOST_TEST(!ParseConfiguration(json.dump()).value().has_accounts);
  json["tenants"] = NlohmannJson::object();
  BOOST_TEST(ParseConfiguration(json.dump()).value().has_accounts);
}

// Guards against an invalid account that replaces the accounts in force, and
// against an error that shows a key.
BOOST_AUTO_TEST_CASE(InvalidAccountsAreErrorsWithoutKeys) {
  const std::string control_name("a\r\nX: y");
  NlohmannJson duplicate = MakeConfigurationWith("priority", 1);
  duplicate["tenants"]["b"]["apiKeys"] = {"other", kSecretKey};
  NlohmannJson wrong_public = MakeConfigurationWith("priority", 1);
  wrong_public["routes"]["look"]["public"] = "true";
  NlohmannJson wrong_account = MakeConfigurationWith("priority", 1);
  wrong_account["tenants"]["b"] = NlohmannJson::array({kSecretKey});
  NlohmannJson control_character = MakeConfigurationWith("priority", 1);
  control_character["tenants"][control_name]["apiKeys"] = {kSecretKey};
  NlohmannJson long_name = MakeConfigurationWith("priority", 1);
  long_name["tenants"][std::string(256, 'n')]["apiKeys"] = {"other"};
  NlohmannJson no_name = MakeConfigurationWith("priority", 1);
  no_name["tenants"][""]["apiKeys"] = {"other"};
  NlohmannJson wrong_accounts = MakeConfiguration();
  wrong_accounts["tenants"] = NlohmannJson::array({kSecretKey});
  const std::pair<NlohmannJson, const char*> cases[] = {
      {duplicate, "account b: conflict: apiKeys: a key is also a key of a"},
      {wrong_public, "route look: wrong type: public"},
      {wrong_account, "account b: wrong type"},
      {control_character, "accounts: malformed"},
      {long_name, "accounts: malformed"},
      {no_name, "accounts: malformed"},
      {wrong_accounts, "accounts: malformed"},
      {MakeConfigurationWith("apiKeys", kSecretKey), "wrong type: apiKeys"},
      {MakeConfigurationWith("apiKeys", {kSecretKey, 1}),
       "wrong type: apiKeys"},
      {MakeConfigurationWith("apiKeys", {kSecretKey, ""}),
       "out of range: apiKeys"},
      {MakeConfigurationWith("priority", "1"), "wrong type: priority"},
      {MakeConfigurationWith("priority", 1.5), "wrong type: priority"},
      {MakeConfigurationWith("priority", -1), "out of range: priority"},
      {MakeConfigurationWith("priority", 4294967296), "out of range: priority"},
      {MakeConfigurationWith("ratePerS", "5"), "wrong type: ratePerS"},
      {MakeConfigurationWith("ratePerS", true), "wrong type: ratePerS"},
      {MakeConfigurationWith("ratePerS", -0.5), "out of range: ratePerS"},
      {MakeConfigurationWith("burst", NlohmannJson::array()),
       "wrong type: burst"},
      {MakeConfigurationWith("burst", -1), "out of range: burst"},
  };
  for (const auto& [json, expected] : cases) {
    const auto parsed = ParseConfiguration(json.dump());
    BOOST_REQUIRE_MESSAGE(!parsed.has_value(), expected);
    const std::string text = base::ToString(parsed.error());
    BOOST_TEST(text.find(expected) != text.npos, text << " lacks " << expected);
    BOOST_TEST(text.find(kSecretKey) == text.npos, text);
  }
}

// Guards against malformed or repeated Authorization fields that are taken for
// a key, and against a key that stays in the request.
BOOST_AUTO_TEST_CASE(CredentialsAreParsed) {
  for (const char* value : {"Token one", "token one", "Token   one"}) {
    const fleet::Credential credential = TakeCredentialOf({value});
    BOOST_TEST((credential.state == CredentialState::kPresent), value);
    BOOST_TEST((credential.key == fleet::ComputeKeyDigest("one")), value);
  }
  for (const char* value : {"", "Token", "Token ", "one", "Bearer one",
                            "Tokenone", "Token\tone", "TokenToken one", " one"})
    BOOST_TEST((TakeCredentialOf({value}).state == CredentialState::kMalformed),
               value);
  BOOST_TEST(!(TakeCredentialOf({"Token one, Token one"}).key ==
               fleet::ComputeKeyDigest("one")));
  BOOST_TEST((TakeCredentialOf({}).state == CredentialState::kAbsent));
  BOOST_TEST((TakeCredentialOf({"Token one", "Token one"}).state ==
              CredentialState::kDuplicate));
}

// Guards against upstreams that see a key or trust an account that the caller
// made up, and against deployments without accounts whose fields get lost.
BOOST_AUTO_TEST_CASE(UpstreamsSeeTheAccountAndNoKey) {
  edge::HttpRequest request(http::verb::get, "/look/1", 11);
  request.set(http::field::authorization, "Token one");
  request.insert("Tenant", "forged");
  request.insert("tenant", "forged too");
  request.set(http::field::connection, "Tenant");
  const base::AccountId account{"first"};
  const base::AccountId no_account;
  const auto keyed =
      MakeUpstreamRequest(request, milliseconds(100), {"i-1"}, &account);
  BOOST_TEST(keyed.count(http::field::authorization) == 0U);
  BOOST_TEST(keyed.count("Tenant") == 1U);
  BOOST_TEST(keyed["Tenant"] == "first");
  const auto without_account =
      MakeUpstreamRequest(request, milliseconds(100), {"i-1"}, &no_account);
  BOOST_TEST(without_account.count(http::field::authorization) == 0U);
  BOOST_TEST(without_account.count("Tenant") == 0U);
  request.erase(http::field::connection);
  const auto forwarded =
      MakeUpstreamRequest(request, milliseconds(100), {"i-1"}, nullptr);
  BOOST_TEST(forwarded[http::field::authorization] == "Token one");
  BOOST_TEST(forwarded.count("Tenant") == 2U);
}

// Prints what a configuration of the size that is expected soon takes to
// decode. Guards against accounts or routes that are lost in a large one.
BOOST_AUTO_TEST_CASE(LargeConfigurationsAreDecoded) {
  constexpr int kRoutes = 1400;
  constexpr int kAccounts = 500;
  NlohmannJson json = MakeConfiguration();
  for (int i = 0; i < kRoutes; ++i) {
    const std::string number = std::to_string(i);
    json["routes"]["route-" + number] = MakeRoute("/route-" + number + "/");
  }
  for (int i = 0; i < kAccounts; ++i) {
    const std::string number = std::to_string(i);
    json["tenants"]["account-" + number] = {
        {"apiKeys", {"key-a-" + number, "key-b-" + number}},
        {"priority", i % 4},
        {"ratePerS", 5.5},
        {"burst", 20}};
  }
  const std::string text = json.dump();
  json = nullptr;
  const std::size_t used_before = mallinfo2().uordblks;
  const auto started_at = std::chrono::steady_clock::now();
  const auto parsed = ParseConfiguration(text);
  const auto duration = std::chrono::steady_clock::now() - started_at;
  const std::size_t used_after = mallinfo2().uordblks;
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST(parsed.value().accounts.size() ==
             static_cast<std::size_t>(kAccounts));
  BOOST_TEST(parsed.value().routes_by_host.at("f.example").size() ==
             static_cast<std::size_t>(kRoutes + 1));
  const std::size_t used_before_tree = mallinfo2().uordblks;
  const Json tree = ParseJson(text);
  const std::size_t used_after_tree = mallinfo2().uordblks;
  const double milliseconds_taken =
      std::chrono::duration<double, std::milli>(duration).count();
  BOOST_TEST_MESSAGE(
      ("configuration of " + std::to_string(kRoutes) + " routes and " +
       std::to_string(kAccounts) +
       " accounts: " + std::to_string(text.size() / 1024) +
       " KB of text, decoded in " + std::to_string(milliseconds_taken) +
       " ms into " + std::to_string((used_after - used_before) / 1024) +
       " KB; the JSON tree takes " +
       std::to_string((used_after_tree - used_before_tree) / 1024) +
       " KB meanwhile"));
}

}  // namespace poplarfork::platform
