#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

#include "base/error_func.h"
#include "cli/command_func.h"
#include "cli/options_func.h"

namespace poplarfork::cli {

namespace {

using Json = nlohmann::ordered_json;

const std::string kGateway = "127.0.0.1:1";
const std::string kDispatcher = "127.0.0.1:2";

// Gateways by control address, and the requests that they have got.
struct FakeGateways {
  std::map<std::string, AdminResponse> responses;
  std::vector<AdminRequest> requests;
};

FlagValues MakeFlags(const WhereOptions& where, const char* output = "table") {
  FlagValues flags;
  flags.output = output;
  flags.where = where;
  return flags;
}

const WhereOptions kWhere = {kGateway, "GET", "/a b&c", "h", "anna"};

CommandResult RunWhereCommand(FakeGateways& fake, const FlagValues& flags) {
  const auto options = ParseOptions({"where"}, flags);
  if (!options.has_value())
    return {ExitCode::kUsageError, "", base::ToString(options.error())};
  Environment environment;
  environment.send_admin_request = [&fake](const AdminRequest& request) {
    fake.requests.push_back(request);
    return fake.responses[request.daemon_address];
  };
  return RunCommand(options.value(), environment);
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

AdminResponse MakeResponse(const std::string& body, int status = 200) {
  return {AdminStatus::kResponded, status, body, ""};
}

AdminResponse MakeAnswer(const Json& explanation) {
  Json answer = Json::parse(
      R"({"gateway":"g1","configuration":7,"route":{"name":"r","class":"c"},)"
      R"("account":"anna","priority":0,"outcome":null,"services":[)"
      R"({"service":"s","share":1.0,"shards":[{"shard":1,"shards":2,)"
      R"("dispatcher":"g2","dispatcher_control_address":"127.0.0.1:2",)"
      R"("is_dispatcher":false}]}]})");
  answer["services"][0]["shards"][0]["explanation"] = explanation;
  return MakeResponse(answer.dump());
}

const Json kExplanation = Json::parse(
    R"({"account_tokens":2.5,"waiting":3,"candidate_count":7,"candidates":[)"
    R"({"upstream":"u1","data_centre":"a","health":"trusted",)"
    R"("fault_probability":0.1,"running":1,"slots":4,"cost":0.6}],)"
    R"("excluded":[{"upstream":"u2","reason":"draining"}],)"
    R"("outcome":{"result":"refused","status":429,"reason":"over_allowance",)"
    R"("retry_after_ms":250.0}})");

}  // namespace

// Guards against a failure of the gateway that is shown as an answer or without
// its cause.
BOOST_AUTO_TEST_CASE(FailuresOfTheGatewayAreNamed) {
  struct Case {
    AdminResponse response;
    ExitCode exit_code;
    const char* error;
  };
  const std::vector<Case> cases = {
      {{AdminStatus::kNotReachable, 0, "", "refused"},
       ExitCode::kDaemonNotReachable,
       "accepts no connection: refused"},
      {{AdminStatus::kNoResponse, 0, "", "timed out"},
       ExitCode::kDaemonNotReachable,
       "no response within 5 s: timed out"},
      {MakeResponse("", 404), ExitCode::kRejected, "older version"},
      {MakeResponse(R"({"reason":"unknown_account"})", 400),
       ExitCode::kRejected, "--account: the configuration has no account"},
      {MakeResponse(R"({"reason":"path_invalid"})", 400), ExitCode::kRejected,
       "path_invalid"},
      {MakeResponse("", 500), ExitCode::kRejected, "status 500"},
      {MakeResponse("<html>"), ExitCode::kRejected, "not that of GET /where"},
      {MakeResponse("{}"), ExitCode::kRejected, "not that of GET /where"},
  };
  for (const Case& item : cases) {
    FakeGateways fake;
    fake.responses[kGateway] = item.response;
    const CommandResult result = RunWhereCommand(fake, MakeFlags(kWhere));
    BOOST_TEST((result.exit_code == item.exit_code), item.error);
    BOOST_TEST(Contains(result.standard_error, item.error),
               result.standard_error);
    BOOST_TEST(result.standard_output.empty());
  }
}

// Guards against usage errors that do not name the flag.
BOOST_AUTO_TEST_CASE(InvalidWhereFlagsAreNamed) {
  const std::vector<std::pair<WhereOptions, const char*>> cases = {
      {{"", "GET", "/"}, "--gateway"},   {{"x:1", "GET", "/"}, "--gateway"},
      {{kGateway, "", "/"}, "--method"}, {{kGateway, "G T", "/"}, "--method"},
      {{kGateway, "GET", ""}, "--path"}, {{kGateway, "GET", "p"}, "--path"}};
  for (const auto& [where, flag] : cases) {
    FakeGateways fake;
    const CommandResult result = RunWhereCommand(fake, MakeFlags(where));
    BOOST_TEST((result.exit_code == ExitCode::kUsageError));
    BOOST_TEST(Contains(result.standard_error, flag), result.standard_error);
    BOOST_TEST(fake.requests.empty());
  }
}

// Guards against a dispatcher that is not asked, is asked about another request
// or more than once, and against a refusal that is taken for an error.
BOOST_AUTO_TEST_CASE(DispatcherIsAskedOnce) {
  FakeGateways fake;
  fake.responses[kGateway] = MakeAnswer(nullptr);
  fake.responses[kDispatcher] = MakeAnswer(kExplanation);
  const CommandResult result = RunWhereCommand(fake, MakeFlags(kWhere));
  BOOST_TEST((result.exit_code == ExitCode::kOk), result.standard_error);
  BOOST_REQUIRE_EQUAL(fake.requests.size(), 2U);
  BOOST_TEST(fake.requests[1].path ==
             "/where?method=GET&path=%2Fa%20b%26c&host=h&account=anna&from=g1&"
             "service=s&shard=1%2F2");
  BOOST_TEST(fake.requests[1].timeout.count() == 5);
  for (const char* part :
       {"account tokens    2.500", "and 6 more", "u2        draining",
        "status 429 (over_allowance), Retry-After about 250.000 ms"})
    BOOST_TEST(Contains(result.standard_output, part), result.standard_output);
  const Json json = Json::parse(
      RunWhereCommand(fake, MakeFlags(kWhere, "json")).standard_output);
  BOOST_TEST((json["services"][0]["shards"][0]["explanation"] == kExplanation));
}

// Guards against an incomplete answer that looks complete.
BOOST_AUTO_TEST_CASE(MissingExplanationIsAnError) {
  const std::vector<std::pair<AdminResponse, const char*>> cases = {
      {AdminResponse{}, "accepts no connection"},
      {MakeAnswer(nullptr), "does not dispatch the shard"}};
  for (const auto& [response, error] : cases) {
    FakeGateways fake;
    fake.responses[kGateway] = MakeAnswer(nullptr);
    fake.responses[kDispatcher] = response;
    const CommandResult result = RunWhereCommand(fake, MakeFlags(kWhere));
    BOOST_TEST((result.exit_code != ExitCode::kOk));
    BOOST_TEST(Contains(result.standard_error, error), result.standard_error);
    BOOST_TEST(Contains(result.standard_output, "no explanation: gateway"),
               result.standard_output);
  }
}

}  // namespace poplarfork::cli
