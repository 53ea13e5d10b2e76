#include "cli/command_func.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "base/error_func.h"
#include "cli/options_func.h"
#include "cli/table_func.h"
#include "note/apply_note_func.h"
#include "note/configuration_codec_func.h"
#include "note/parse_note_func.h"

namespace poplarfork::cli {

namespace {

struct FakeDaemon {
  std::string note_text = "add: {accounts: [{name: x}]}";
  AdminResponse response;
  std::vector<AdminRequest> requests;
};

Environment MakeFakeEnvironment(FakeDaemon& fake) {
  return Environment{[&fake](const AdminRequest& request) {
                       fake.requests.push_back(request);
                       return fake.response;
                     },
                     [&fake](const std::string& name, std::string& text) {
                       text = fake.note_text;
                       return name == "note.yaml";
                     },
                     [] { return std::string("drawn"); }};
}

CommandResult RunCommandLine(FakeDaemon& fake,
                             const std::vector<std::string>& positional,
                             const FlagValues& flags) {
  const auto options = ParseOptions(positional, flags);
  if (!options.has_value())
    return CommandResult{ExitCode::kUsageError, "",
                         base::ToString(options.error())};
  return RunCommand(options.value(), MakeFakeEnvironment(fake));
}

const FlagValues kDefaultFlags{"127.0.0.1:1", "", "table"};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

AdminResponse MakeResponse(const std::string& body, int status = 200) {
  return AdminResponse{AdminStatus::kResponded, status, body, ""};
}

struct PublishCase {
  AdminResponse response;
  ExitCode exit_code;
  const char* output;
};

}  // namespace

// Guards against an exit code from which a script concludes that a note was
// accepted or rejected although the daemon did not say so.
BOOST_AUTO_TEST_CASE(PublishExitCodesMatchTheOutcome) {
  const std::vector<PublishCase> cases = {
      {MakeResponse(R"({"result":"accepted","revision":7,"reason":""})"),
       ExitCode::kOk, "accepted as revision 7"},
      {MakeResponse(R"({"result":"rejected","revision":0,"reason":"conflict"})",
                    409),
       ExitCode::kRejected, "rejected: conflict"},
      {MakeResponse(R"({"result":"unknown","reason":"store_unavailable"})",
                    504),
       ExitCode::kUnknownOutcome, "unknown: store_unavailable"},
      {MakeResponse(R"({"result":"other"})"), ExitCode::kUnknownOutcome,
       "other"},
      {MakeResponse("<html>"), ExitCode::kUnknownOutcome, "not JSON"},
      {MakeResponse(R"({"result":7,"revision":"x"})"),
       ExitCode::kUnknownOutcome, ""},
      {MakeResponse("[]"), ExitCode::kUnknownOutcome, ""},
      {{AdminStatus::kNoResponse, 0, "", "reset"},
       ExitCode::kUnknownOutcome,
       "reset"},
      {{AdminStatus::kNotReachable, 0, "", "refused"},
       ExitCode::kDaemonNotReachable,
       "refused"},
  };
  for (const PublishCase& item : cases) {
    FakeDaemon fake;
    fake.response = item.response;
    const CommandResult result =
        RunCommandLine(fake, {"publish", "note.yaml"}, kDefaultFlags);
    BOOST_TEST((result.exit_code == item.exit_code), item.response.body);
    BOOST_TEST(Contains(result.standard_output, item.output),
               result.standard_output);
    const bool expects_retry_hint =
        item.exit_code == ExitCode::kUnknownOutcome ||
        item.exit_code == ExitCode::kDaemonNotReachable;
    BOOST_TEST(Contains(result.standard_error, "--note_id=drawn") ==
               expects_retry_hint);
  }
}

// Guards against publishing the same note under another id at the second
// attempt, and against ignoring an id in the note or in the flag.
BOOST_AUTO_TEST_CASE(PublishSendsOneNoteId) {
  FakeDaemon fake;
  RunCommandLine(fake, {"publish", "note.yaml"},
                 {"127.0.0.1:1", "mine", "json"});
  BOOST_TEST(fake.requests.at(0).note_id == "mine");
  BOOST_TEST(fake.requests.at(0).path == "/admin/v1/notes");
  fake.note_text = "id: own\nadd: {}";
  RunCommandLine(fake, {"publish", "note.yaml"}, kDefaultFlags);
  BOOST_TEST(fake.requests.at(1).note_id == "own");
  const CommandResult result = RunCommandLine(fake, {"publish", "note.yaml"},
                                              {"127.0.0.1:1", "mine", "json"});
  BOOST_TEST((result.exit_code == ExitCode::kUsageError));
  BOOST_TEST(fake.requests.size() == 2U);
}

// Guards against errors without file, line and key, and against sending a note
// that does not parse.
BOOST_AUTO_TEST_CASE(ErrorsNameFileLineAndKey) {
  FakeDaemon fake;
  fake.note_text = "add:\n  accounts:\n    - {name: x, rate: -1}\n";
  for (const char* command : {"check", "publish", "diff"}) {
    const CommandResult result =
        RunCommandLine(fake, {command, "note.yaml"}, kDefaultFlags);
    BOOST_TEST((result.exit_code == ExitCode::kRejected));
    BOOST_TEST(Contains(result.standard_error,
                        "note.yaml: line 3: add.accounts[0].rate: out of "
                        "range: '-1'; accepted: a number from 0 to"));
  }
  BOOST_TEST(fake.requests.empty());
  const CommandResult missing =
      RunCommandLine(fake, {"check", "other.yaml"}, kDefaultFlags);
  BOOST_TEST((missing.exit_code == ExitCode::kRejected));
  BOOST_TEST(Contains(missing.standard_error, "other.yaml"));
}

// Guards against a diff that ignores the configuration of the daemon.
BOOST_AUTO_TEST_CASE(DiffUsesTheDaemonsConfiguration) {
  FakeDaemon fake;
  const auto note =
      note::ParseReleaseNote("add: {accounts: [{name: y}]}", "").value();
  const auto configuration =
      note::ApplyNoteToCopy(note::Configuration{}, note).value();
  fake.response = MakeResponse(note::ConfigurationToJson(configuration));
  const CommandResult added =
      RunCommandLine(fake, {"diff", "note.yaml"}, kDefaultFlags);
  BOOST_TEST(Contains(added.standard_output, "+ account x: rate 100"));
  fake.note_text = "add: {accounts: [{name: y}]}";
  const CommandResult exists =
      RunCommandLine(fake, {"diff", "note.yaml"}, kDefaultFlags);
  BOOST_TEST((exists.exit_code == ExitCode::kRejected));
  BOOST_TEST(Contains(exists.standard_error,
                      "note.yaml: line 1: add.accounts[0]: conflict"));
  fake.response = MakeResponse("oops", 503);
  const CommandResult bad_response_result =
      RunCommandLine(fake, {"diff", "note.yaml"}, kDefaultFlags);
  BOOST_TEST(Contains(bad_response_result.standard_error, "status 503"));
}

// Guards against usage errors that end with exit code 1, which means that a
// note was rejected.
BOOST_AUTO_TEST_CASE(UsageErrorsAreRecognized) {
  FakeDaemon fake;
  const std::vector<std::vector<std::string>> invalid_command_lines = {
      {}, {"stop"}, {"check"}, {"check", "a", "b"}, {"status", "x"}};
  for (const auto& positional : invalid_command_lines) {
    const CommandResult result =
        RunCommandLine(fake, positional, kDefaultFlags);
    BOOST_TEST((result.exit_code == ExitCode::kUsageError));
    BOOST_TEST(Contains(result.standard_error, "accepted: "));
  }
  BOOST_TEST((RunCommandLine(fake, {"status"}, {"", "", "table"}).exit_code ==
              ExitCode::kUsageError));
  BOOST_TEST(
      (RunCommandLine(fake, {"status"}, {"1.1.1.1:1", "", "xml"}).exit_code ==
       ExitCode::kUsageError));
  BOOST_TEST((
      RunCommandLine(fake, {"explain", "../status"}, kDefaultFlags).exit_code ==
      ExitCode::kUsageError));
  BOOST_TEST(!CheckFlags({"--demon=x"}).has_value());
  BOOST_TEST(!CheckFlags({"status", "--daemon"}).has_value());
  BOOST_TEST(
      CheckFlags({"status", "--daemon", "x", "--output=json"}).has_value());
}

// Guards against output that drops parts of a daemon's response.
BOOST_AUTO_TEST_CASE(ResponsesAreShownAsTable) {
  FakeDaemon fake;
  fake.response = MakeResponse(
      R"({"ready":true,"log":{"revision":3},"peers":[{"id":"a","age":1},)"
      R"({"id":"b"}]})");
  const CommandResult result = RunCommandLine(fake, {"status"}, kDefaultFlags);
  BOOST_TEST(Contains(result.standard_output, "ready         true\n"));
  BOOST_TEST(Contains(result.standard_output, "log.revision  3\n"));
  BOOST_TEST(
      Contains(result.standard_output, "peers\nage  id\n1    a\n     b"));
  fake.response = MakeResponse("", 404);
  const CommandResult unknown =
      RunCommandLine(fake, {"explain", "r1"}, kDefaultFlags);
  BOOST_TEST((unknown.exit_code == ExitCode::kRejected));
  fake.response = AdminResponse{};
  BOOST_TEST((RunCommandLine(fake, {"history"}, kDefaultFlags).exit_code ==
              ExitCode::kDaemonNotReachable));
}

}  // namespace poplarfork::cli
