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

struct Fake {
  std::string file = "add: {accounts: [{name: x}]}";
  AdminAnswer answer;
  std::vector<AdminRequest> requests;
};

Environment MakeFake(Fake& fake) {
  return Environment{[&fake](const AdminRequest& request) {
                       fake.requests.push_back(request);
                       return fake.answer;
                     },
                     [&fake](const std::string& name, std::string& text) {
                       text = fake.file;
                       return name == "note.yaml";
                     },
                     [] { return std::string("drawn"); }};
}

Report RunWith(Fake& fake,
               const std::vector<std::string>& positional,
               const FlagValues& flags) {
  const auto options = ReadOptions(positional, flags);
  if (!options.has_value())
    return Report{ExitCode::kUsage, "", base::ToString(options.error())};
  return RunCommand(options.value(), MakeFake(fake));
}

const FlagValues kFlags{"127.0.0.1:1", "", "table"};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

AdminAnswer Answered(const std::string& body, int status = 200) {
  return AdminAnswer{AdminStatus::kAnswered, status, body, ""};
}

struct PublishCase {
  AdminAnswer answer;
  ExitCode exit_code;
  const char* output;
};

}  // namespace

// Guards against an exit code from which a script concludes that a note was
// accepted or rejected although the daemon did not say so.
BOOST_AUTO_TEST_CASE(PublishExitCodesMatchTheOutcome) {
  const std::vector<PublishCase> cases = {
      {Answered(R"({"result":"accepted","revision":7,"reason":""})"),
       ExitCode::kOk, "accepted as revision 7"},
      {Answered(R"({"result":"rejected","revision":0,"reason":"conflict"})",
                409),
       ExitCode::kRejected, "rejected: conflict"},
      {Answered(R"({"result":"unknown","reason":"store_unavailable"})", 504),
       ExitCode::kUnknown, "unknown: store_unavailable"},
      {Answered(R"({"result":"other"})"), ExitCode::kUnknown, "other"},
      {Answered("<html>"), ExitCode::kUnknown, "not JSON"},
      {Answered(R"({"result":7,"revision":"x"})"), ExitCode::kUnknown, ""},
      {Answered("[]"), ExitCode::kUnknown, ""},
      {{AdminStatus::kNoAnswer, 0, "", "reset"}, ExitCode::kUnknown, "reset"},
      {{AdminStatus::kNotReachable, 0, "", "refused"},
       ExitCode::kDaemonNotReachable,
       "refused"},
  };
  for (const PublishCase& item : cases) {
    Fake fake;
    fake.answer = item.answer;
    const Report report = RunWith(fake, {"publish", "note.yaml"}, kFlags);
    BOOST_TEST((report.exit_code == item.exit_code), item.answer.body);
    BOOST_TEST(Contains(report.standard_output, item.output),
               report.standard_output);
    const bool open = item.exit_code == ExitCode::kUnknown ||
                      item.exit_code == ExitCode::kDaemonNotReachable;
    BOOST_TEST(Contains(report.standard_error, "--note_id=drawn") == open);
  }
}

// Guards against publishing the same note under another id at the second
// attempt, and against ignoring an id in the note or in the flag.
BOOST_AUTO_TEST_CASE(PublishSendsOneNoteId) {
  Fake fake;
  RunWith(fake, {"publish", "note.yaml"}, {"127.0.0.1:1", "mine", "json"});
  BOOST_TEST(fake.requests.at(0).note_id == "mine");
  BOOST_TEST(fake.requests.at(0).path == "/admin/v1/notes");
  fake.file = "id: own\nadd: {}";
  RunWith(fake, {"publish", "note.yaml"}, kFlags);
  BOOST_TEST(fake.requests.at(1).note_id == "own");
  const Report report =
      RunWith(fake, {"publish", "note.yaml"}, {"127.0.0.1:1", "mine", "json"});
  BOOST_TEST((report.exit_code == ExitCode::kUsage));
  BOOST_TEST(fake.requests.size() == 2U);
}

// Guards against errors without file, line and key, and against sending a note
// that does not parse.
BOOST_AUTO_TEST_CASE(ErrorsNameFileLineAndKey) {
  Fake fake;
  fake.file = "add:\n  accounts:\n    - {name: x, rate: -1}\n";
  for (const char* command : {"check", "publish", "diff"}) {
    const Report report = RunWith(fake, {command, "note.yaml"}, kFlags);
    BOOST_TEST((report.exit_code == ExitCode::kRejected));
    BOOST_TEST(Contains(report.standard_error,
                        "note.yaml: line 3: add.accounts[0].rate: out of "
                        "range: '-1'; accepted: a number from 0 to"));
  }
  BOOST_TEST(fake.requests.empty());
  const Report missing = RunWith(fake, {"check", "other.yaml"}, kFlags);
  BOOST_TEST((missing.exit_code == ExitCode::kRejected));
  BOOST_TEST(Contains(missing.standard_error, "other.yaml"));
}

// Guards against a diff that ignores the configuration of the daemon.
BOOST_AUTO_TEST_CASE(DiffUsesTheDaemonsConfiguration) {
  Fake fake;
  const auto note =
      note::ParseReleaseNote("add: {accounts: [{name: y}]}", "").value();
  const auto configuration =
      note::ApplyNoteToCopy(note::Configuration{}, note).value();
  fake.answer = Answered(note::ConfigurationToJson(configuration));
  const Report added = RunWith(fake, {"diff", "note.yaml"}, kFlags);
  BOOST_TEST(Contains(added.standard_output, "+ account x: rate 100"));
  fake.file = "add: {accounts: [{name: y}]}";
  const Report exists = RunWith(fake, {"diff", "note.yaml"}, kFlags);
  BOOST_TEST((exists.exit_code == ExitCode::kRejected));
  BOOST_TEST(Contains(exists.standard_error,
                      "note.yaml: line 1: add.accounts[0]: conflict"));
  fake.answer = Answered("oops", 503);
  const Report bad = RunWith(fake, {"diff", "note.yaml"}, kFlags);
  BOOST_TEST(Contains(bad.standard_error, "status 503"));
}

// Guards against usage errors that end with exit code 1, which means that a
// note was rejected.
BOOST_AUTO_TEST_CASE(UsageErrorsAreRecognized) {
  Fake fake;
  const std::vector<std::vector<std::string>> bad = {
      {}, {"stop"}, {"check"}, {"check", "a", "b"}, {"status", "x"}};
  for (const auto& positional : bad) {
    const Report report = RunWith(fake, positional, kFlags);
    BOOST_TEST((report.exit_code == ExitCode::kUsage));
    BOOST_TEST(Contains(report.standard_error, "accepted: "));
  }
  BOOST_TEST((RunWith(fake, {"status"}, {"", "", "table"}).exit_code ==
              ExitCode::kUsage));
  BOOST_TEST((RunWith(fake, {"status"}, {"1.1.1.1:1", "", "xml"}).exit_code ==
              ExitCode::kUsage));
  BOOST_TEST((RunWith(fake, {"explain", "../status"}, kFlags).exit_code ==
              ExitCode::kUsage));
  BOOST_TEST(!CheckFlags({"--demon=x"}).has_value());
  BOOST_TEST(!CheckFlags({"status", "--daemon"}).has_value());
  BOOST_TEST(
      CheckFlags({"status", "--daemon", "x", "--output=json"}).has_value());
}

// Guards against output that drops parts of a daemon's response.
BOOST_AUTO_TEST_CASE(ResponsesAreShownAsTable) {
  Fake fake;
  fake.answer = Answered(
      R"({"ready":true,"log":{"revision":3},"peers":[{"id":"a","age":1},)"
      R"({"id":"b"}]})");
  const Report report = RunWith(fake, {"status"}, kFlags);
  BOOST_TEST(Contains(report.standard_output, "ready         true\n"));
  BOOST_TEST(Contains(report.standard_output, "log.revision  3\n"));
  BOOST_TEST(
      Contains(report.standard_output, "peers\nage  id\n1    a\n     b"));
  fake.answer = Answered("", 404);
  const Report unknown = RunWith(fake, {"explain", "r1"}, kFlags);
  BOOST_TEST((unknown.exit_code == ExitCode::kRejected));
  fake.answer = AdminAnswer{};
  BOOST_TEST((RunWith(fake, {"history"}, kFlags).exit_code ==
              ExitCode::kDaemonNotReachable));
}

}  // namespace poplarfork::cli
