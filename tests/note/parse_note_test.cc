#include "note/parse_note_func.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>
#include <string>

#include "base/error_func.h"

namespace poplarfork::note {

namespace {

struct InvalidNote {
  const char* text;
  base::ErrorCode code;
  // Text that the error's detail must contain: line, key and what is accepted.
  const char* detail;
};

constexpr InvalidNote kInvalidNotes[] = {
    {"add: [", base::ErrorCode::kMalformed, "line 1: "},
    {"id: a\nadd: {}\ncolour: red\n", base::ErrorCode::kUnknownKey,
     "line 3: colour: unknown key: accepted: id, author"},
    {"id: a\n", base::ErrorCode::kMissing, "at least one of add"},
    {"- a\n", base::ErrorCode::kWrongType, "line 1: wrong type"},
    {"", base::ErrorCode::kWrongType, "accepted: a mapping with the keys id"},
    {"add:\n  services:\n    - name: s\n      flor: 1\n",
     base::ErrorCode::kUnknownKey,
     "line 4: add.services[0].flor: unknown key: accepted: name, detection"},
    {"add:\n  services:\n    - name: s\n      floor: 1.5\n",
     base::ErrorCode::kOutOfRange,
     "line 4: add.services[0].floor: out of range: '1.5'; accepted: a number "
     "from 0 to 1"},
    {"add:\n  services:\n    - name: s\n      floor: .nan\n",
     base::ErrorCode::kWrongType, "line 4: add.services[0].floor"},
    {"add:\n  services:\n    - name: s\n      floor: \"0.5\"\n",
     base::ErrorCode::kWrongType, "line 4: add.services[0].floor"},
    {"add:\n  services:\n    - name: s\n      urgency: soon\n",
     base::ErrorCode::kOutOfRange, "accepted: one of: urgent normal bulk"},
    {"add:\n  services:\n    - name: s\n      require_key: yes\n",
     base::ErrorCode::kWrongType, "accepted: true or false"},
    {"add:\n  services:\n    - name: s\n      name: t\n",
     base::ErrorCode::kConflict, "line 4: add.services[0].name: conflict: dup"},
    {"add:\n  services:\n    - floor: 0.5\n", base::ErrorCode::kMissing,
     "line 3: add.services[0].name: missing"},
    {"add:\n  services:\n    - name: {a: b}\n", base::ErrorCode::kWrongType,
     "line 3: add.services[0].name"},
    {"add:\n  services: {name: s}\n", base::ErrorCode::kWrongType,
     "line 2: add.services: wrong type: accepted: a list"},
    {"add:\n  upstreams:\n    - {name: u, service: s, address: host:80, "
     "data_centre: d}\n",
     base::ErrorCode::kOutOfRange, "line 3: add.upstreams[0].address"},
    {"add:\n  upstreams:\n    - {name: u, service: s, address: "
     "'10.0.0.256:80', data_centre: d}\n",
     base::ErrorCode::kOutOfRange, "accepted: IP:port"},
    {"add:\n  upstreams:\n    - {name: u, service: s, address: "
     "'10.0.0.1:80', data_centre: d, slots: 0}\n",
     base::ErrorCode::kOutOfRange, "accepted: an integer from 1 to 10000"},
    {"add:\n  routes:\n    - {host: h, path_prefix: /a/../b, service: s}\n",
     base::ErrorCode::kOutOfRange, "line 3: add.routes[0].path_prefix"},
    {"add:\n  routes:\n    - {host: h, path_prefix: /.poplarfork/v1, "
     "service: s}\n",
     base::ErrorCode::kOutOfRange, "line 3: add.routes[0].path_prefix"},
    {"add:\n  routes:\n    - {host: Host, path_prefix: /a, service: s}\n",
     base::ErrorCode::kOutOfRange, "line 3: add.routes[0].host"},
    {"change:\n  accounts:\n    - {name: a, rate: 5}\n",
     base::ErrorCode::kMissing, "line 3: change.accounts[0].burst: missing"},
    {"withdraw:\n  upstreams:\n    - a b\n", base::ErrorCode::kOutOfRange,
     "line 3: withdraw.upstreams[0]"},
    {"withdraw:\n  upstreams:\n    - [a]\n", base::ErrorCode::kWrongType,
     "line 3: withdraw.upstreams[0]"},
    {"add: {services: [{name: ~}]}\n", base::ErrorCode::kWrongType,
     "add.services[0].name"},
};

std::string ReadExample(const std::string& name) {
  std::ifstream file(POPLARFORK_SOURCE_DIR "/examples/" + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

// Guards against problems in a note that are accepted, or reported without the
// file, the line, the key or what is accepted.
BOOST_AUTO_TEST_CASE(InvalidNotesAreReportedWithLineAndKey) {
  for (const InvalidNote& invalid_note : kInvalidNotes) {
    BOOST_TEST_CONTEXT(invalid_note.text) {
      const auto note = ParseReleaseNote(invalid_note.text, "bad.yaml");
      BOOST_REQUIRE(!note.has_value());
      BOOST_TEST(note.error().code == base::make_error_code(invalid_note.code));
      BOOST_TEST(note.error().peer == "bad.yaml");
      const bool contains =
          note.error().detail.find(invalid_note.detail) != std::string::npos;
      BOOST_TEST(contains, base::ToString(note.error()));
    }
  }
}

// Guards against a parser that stops at the first problem, so that the operator
// needs one attempt per problem.
BOOST_AUTO_TEST_CASE(AllProblemsAreReported) {
  const auto note = ParseReleaseNote(
      "add:\n  services:\n    - name: s\n      floor: 2\n      urgency: x\n",
      "two.yaml");
  BOOST_REQUIRE(!note.has_value());
  BOOST_TEST(note.error().detail.find("line 4") != std::string::npos);
  BOOST_TEST(note.error().detail.find("line 5") != std::string::npos);
}

// Guards against a note that is too large for a value of the store, and against
// YAML whose nesting or aliases exhaust the stack or the memory.
BOOST_AUTO_TEST_CASE(OversizedOrDeeplyNestedYamlIsRejected) {
  const std::string oversized(300UL * 1024, '#');
  BOOST_TEST(ParseReleaseNote(oversized, "f").error().code ==
             base::make_error_code(base::ErrorCode::kTooLarge));
  const std::string deeply_nested(100000, '[');
  BOOST_TEST(!ParseReleaseNote(deeply_nested, "f").has_value());
  const std::string aliases =
      "a: &a [x,x,x,x,x,x,x,x]\nb: &b [*a,*a,*a,*a,*a,*a,*a,*a]\n"
      "c: &c [*b,*b,*b,*b,*b,*b,*b,*b]\nadd: {services: *c}\n";
  BOOST_TEST(!ParseReleaseNote(aliases, "f").has_value());
}

// Guards against examples that the parser no longer accepts, and against
// examples whose sizes differ from the workloads on the design page.
BOOST_AUTO_TEST_CASE(ExamplesMatchWorkloadSizes) {
  const auto snorfiks =
      ParseReleaseNote(ReadExample("snorfiks.yaml"), "snorfiks.yaml");
  BOOST_REQUIRE(snorfiks.has_value());
  BOOST_TEST(snorfiks.value().added_upstreams.size() == 36U);
  BOOST_TEST(snorfiks.value().added_upstreams[0].upstream.slots == 3U);
  const auto kristalni =
      ParseReleaseNote(ReadExample("kristalni.yaml"), "kristalni.yaml");
  BOOST_REQUIRE(kristalni.has_value());
  BOOST_TEST(kristalni.value().added_upstreams.size() == 31U);
  BOOST_TEST(kristalni.value().added_upstreams[0].upstream.slots == 6U);
}

}  // namespace poplarfork::note
