#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

#include "cli/where_table_func.h"
#include "tests/gateway/account_fixture.h"

namespace poplarfork::gateway {

namespace {

using Json = nlohmann::ordered_json;

const std::string kLook = "method=GET&path=/look/1&host=f.example";

struct WhereFleet : AccountFleet {
  CallerResponse Ask(const Gateway& gateway, const std::string& query) {
    CallerResponse response =
        this->Get(gateway.settings.control_address, "/where?" + query);
    BOOST_TEST(response.body.find(kKeyMark) == std::string::npos);
    return response;
  }

  Json AskForJson(const Gateway& gateway, const std::string& query) {
    const CallerResponse response = this->Ask(gateway, query);
    BOOST_REQUIRE_EQUAL(response.status, 200U);
    return Json::parse(response.body);
  }
};

}  // namespace

// Guards against an answer that sends the operator to the wrong gateway, and
// against a query that is carried out like a caller's request.
BOOST_FIXTURE_TEST_CASE(DispatcherExplainsAndOthersNameIt, WhereFleet) {
  const std::string query = kLook + "&account=anna";
  int dispatchers = 0;
  for (const auto& gateway : this->gateways) {
    const Json answer = this->AskForJson(*gateway, query);
    BOOST_TEST(answer["configuration"] == 1);
    BOOST_TEST(answer["route"]["class"] == "idempotent");
    BOOST_TEST(answer["account"] == "anna");
    BOOST_TEST(answer["priority"] == 0);
    const Json& shard = answer["services"][0]["shards"][0];
    const bool is_dispatcher = shard["is_dispatcher"].get<bool>();
    dispatchers += is_dispatcher ? 1 : 0;
    BOOST_TEST(shard["explanation"].is_null() == !is_dispatcher);
    const auto& other = this->gateways[gateway == this->gateways[0] ? 1 : 0];
    if (is_dispatcher)
      continue;
    BOOST_TEST(shard["dispatcher_control_address"].get<std::string>() ==
               other->settings.control_address);
    const Json followed = this->AskForJson(
        *other,
        query + "&service=s&shard=0/1&from=" + gateway->view.self.value);
    const Json& explanation =
        followed["services"][0]["shards"][0]["explanation"];
    BOOST_TEST(explanation["candidates"].size() == 1U);
    BOOST_TEST(explanation["outcome"]["upstream"] == "u1");
    const std::string table = cli::FormatWhereTable(followed);
    BOOST_TEST(table.find("would be sent to u1") != std::string::npos, table);
  }
  BOOST_TEST(dispatchers == 1);
  BOOST_TEST(this->upstream->run_counts.empty());
  for (const auto& gateway : this->gateways) {
    BOOST_TEST(gateway->dispatcher.running_attempts.empty());
    BOOST_TEST(gateway->dispatcher.balances.by_account.empty());
    BOOST_TEST(gateway->requests.empty());
  }
}

// Guards against a refusal without a dispatcher, or an invalid query, that is
// answered as if the request were sent.
BOOST_FIXTURE_TEST_CASE(RefusalsAndInvalidQueriesAreNamed, WhereFleet) {
  const Gateway& gateway = *this->gateways[0];
  const std::map<std::string, unsigned> refusals = {
      {kLook, 401}, {"method=GET&path=/none/&host=f.example", 404}};
  for (const auto& [query, status] : refusals) {
    const Json answer = this->AskForJson(gateway, query);
    BOOST_TEST(answer["outcome"]["status"] == status);
    BOOST_TEST(answer["services"].empty());
    BOOST_TEST(cli::FormatWhereTable(answer).find(std::to_string(status)) !=
               std::string::npos);
  }
  const std::map<std::string, std::string> invalid = {
      {kLook + "&account=carl", "unknown_account"},
      {kLook + "&key=x", "unknown_parameter"},
      {kLook + "&from=1.1.1.1:1", "unknown_gateway"},
      {kLook + "&service=s&shard=1/1", "shard_invalid"},
      {"path=/look/1", "method_missing"},
      {"method=GET&path=look", "path_invalid"}};
  for (const auto& [query, reason] : invalid) {
    const CallerResponse response = this->Ask(gateway, query);
    BOOST_TEST(response.status == 400U);
    BOOST_TEST(response.body.find(reason) != std::string::npos, response.body);
  }
}

}  // namespace poplarfork::gateway
