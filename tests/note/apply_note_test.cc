#include "note/apply_note_func.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "base/error_func.h"
#include "note/chain_hash_func.h"
#include "note/configuration_codec_func.h"
#include "note/diff_func.h"
#include "note/parse_note_func.h"

namespace poplarfork::note {

namespace {

constexpr char kInitialNote[] =
    "add:\n"
    "  services:\n"
    "    - {name: s, floor: 0.6}\n"
    "    - {name: empty, floor: 0}\n"
    "  upstreams:\n"
    "    - {name: u1, service: s, address: '127.0.0.1:1', data_centre: d, "
    "slots: 3}\n"
    "    - {name: u2, service: s, address: '127.0.0.1:2', data_centre: d, "
    "slots: 3}\n"
    "    - {name: u3, service: s, address: '127.0.0.1:3', data_centre: d, "
    "slots: 3}\n"
    "  routes:\n"
    "    - {host: h, path_prefix: /a, method: GET, service: s, repeatable: "
    "true}\n"
    "  accounts:\n"
    "    - {name: a, rate: 5, burst: 9}\n";

ReleaseNote Parse(const std::string& text) {
  const auto note = ParseReleaseNote(text, "note.yaml");
  if (!note.has_value())
    BOOST_FAIL(base::ToString(note.error()));
  return note.value();
}

Configuration MakeInitialConfiguration() {
  return ApplyNoteToCopy(Configuration{}, Parse(kInitialNote)).value();
}

struct RejectedNote {
  const char* text;
  base::ErrorCode code;
  const char* detail;
};

constexpr RejectedNote kRejectedNotes[] = {
    {"withdraw: {upstreams: [u9]}", base::ErrorCode::kDanglingReference,
     "line 1: withdraw.upstreams[0]: reference to something not defined: "
     "upstream u9 does not exist"},
    {"withdraw: {services: [t]}", base::ErrorCode::kDanglingReference,
     "service t"},
    {"withdraw: {accounts: [b]}", base::ErrorCode::kDanglingReference,
     "account b"},
    {"withdraw:\n  routes:\n    - {host: h, path_prefix: /a}",
     base::ErrorCode::kDanglingReference, "line 3: withdraw.routes[0]"},
    {"add:\n  services:\n    - name: s", base::ErrorCode::kConflict,
     "line 3: add.services[0]: conflict: service s exists already"},
    {"add:\n  upstreams:\n    - {name: u4, service: t, address: "
     "'127.0.0.1:4', data_centre: d}",
     base::ErrorCode::kDanglingReference,
     "line 3: add.upstreams[0].service: reference to something not defined: "
     "service t"},
    {"add:\n  upstreams:\n    - {name: u1, service: empty, address: "
     "'127.0.0.1:4', data_centre: d}",
     base::ErrorCode::kConflict, "upstream u1 exists already"},
    {"add:\n  routes:\n    - {host: h, path_prefix: /b, service: t}",
     base::ErrorCode::kDanglingReference, "add.routes[0].service"},
    {"withdraw: {upstreams: [u1, u1]}", base::ErrorCode::kConflict,
     "withdraw.upstreams[1]: conflict: duplicate"},
    {"withdraw: {services: [empty]}\nadd: {services: [{name: empty}]}",
     base::ErrorCode::kConflict, "line 2: add.services[0]"},
    {"withdraw: {upstreams: [u1, u2]}", base::ErrorCode::kRefused,
     "below_floor: service s would keep 3 of 9 slots; accepted: at least 6"},
    {"add: {services: [{name: t, floor: 0.5}]}", base::ErrorCode::kRefused,
     "service t would keep 0 of 0 slots; accepted: at least 1"},
};

}  // namespace

// Guards against accepting a note that refers to a missing item, adds an
// existing item, names an item twice or leaves a service below its floor, and
// against errors that do not give the line and the key.
BOOST_AUTO_TEST_CASE(InvalidNotesAreRejectedWithoutEffect) {
  for (const RejectedNote& rejected_note : kRejectedNotes) {
    BOOST_TEST_CONTEXT(rejected_note.text) {
      Configuration configuration = MakeInitialConfiguration();
      const std::string before = ConfigurationToJson(configuration);
      const auto result = ApplyNote(configuration, Parse(rejected_note.text),
                                    ApplyMode::kApply);
      BOOST_REQUIRE(!result.has_value());
      BOOST_TEST(result.error().code ==
                 base::make_error_code(rejected_note.code));
      BOOST_TEST(result.error().peer == "note.yaml");
      const bool contains =
          result.error().detail.find(rejected_note.detail) != std::string::npos;
      BOOST_TEST(contains, base::ToString(result.error()));
      BOOST_TEST(ConfigurationToJson(configuration) == before);
    }
  }
}

// Guards against a dry run that changes the configuration, and against one
// whose result differs from that of applying the note.
BOOST_AUTO_TEST_CASE(DryRunChangesNothing) {
  Configuration configuration = MakeInitialConfiguration();
  const std::string before = ConfigurationToJson(configuration);
  const ReleaseNote note = Parse("withdraw: {upstreams: [u1]}");
  BOOST_TEST(ApplyNote(configuration, note, ApplyMode::kDryRun).has_value());
  BOOST_TEST(ConfigurationToJson(configuration) == before);
  BOOST_TEST(ApplyNote(configuration, note, ApplyMode::kApply).has_value());
  const Service& service = configuration.services.at({"s"});
  BOOST_TEST(service.upstreams.size() == 2U);
}

// Guards against callers of a withdrawn service getting status 404 instead of
// 410, and against a route that stays marked as withdrawn after a note has
// added it again.
BOOST_AUTO_TEST_CASE(WithdrawnRoutesAreRecorded) {
  Configuration configuration = MakeInitialConfiguration();
  const RouteKey key{"h", "/a", "GET"};
  const auto withdrawing_note = Parse("withdraw: {services: [s]}");
  BOOST_TEST(ApplyNote(configuration, withdrawing_note, ApplyMode::kApply)
                 .has_value());
  BOOST_TEST(configuration.routes.empty());
  BOOST_TEST(configuration.withdrawn_routes.at(key).value == "s");
  const auto restoring_note = Parse(
      "add: {routes: [{host: h, path_prefix: /a, method: GET, service: "
      "empty}]}");
  BOOST_TEST(
      ApplyNote(configuration, restoring_note, ApplyMode::kApply).has_value());
  BOOST_TEST(configuration.withdrawn_routes.empty());
}

// Guards against an upstream that is listed by both services after a note has
// moved it from one to the other.
BOOST_AUTO_TEST_CASE(ChangedUpstreamMovesBetweenServices) {
  Configuration configuration = MakeInitialConfiguration();
  const auto moving_note = Parse(
      "change: {upstreams: [{name: u1, service: empty, address: "
      "'127.0.0.1:1', data_centre: d, slots: 4, max_connections: 5}]}");
  BOOST_TEST(
      ApplyNote(configuration, moving_note, ApplyMode::kApply).has_value());
  BOOST_TEST(configuration.services.at({"s"}).upstreams.size() == 2U);
  BOOST_TEST(configuration.services.at({"empty"}).upstreams.size() == 1U);
}

// Guards against a configuration that loses parts when it is encoded as JSON or
// as a snapshot and decoded again.
BOOST_AUTO_TEST_CASE(ConfigurationRoundTripsThroughJson) {
  Configuration configuration = MakeInitialConfiguration();
  configuration.revision.value = 7;
  configuration.hash = kEmptyLogHash;
  configuration.withdrawn_routes[{"h", "/old", ""}] = {"gone"};
  const std::string json = ConfigurationToJson(configuration);
  const auto decoded = ConfigurationFromJson(json);
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(ConfigurationToJson(decoded.value()) == json);
  BOOST_TEST(decoded.value().revision.value == 7U);
  BOOST_TEST(!ConfigurationFromJson("{\"revision\": []}").has_value());
}

// Guards against a diff that leaves out a value that a note would change.
BOOST_AUTO_TEST_CASE(DiffShowsBeforeAndAfter) {
  const auto note = Parse(
      "withdraw: {upstreams: [u1]}\n"
      "change: {accounts: [{name: a, rate: 6, burst: 9}]}");
  const auto diff = DiffNote(MakeInitialConfiguration(), note).value();
  BOOST_REQUIRE(diff.size() == 2U);
  BOOST_TEST(ToString(diff[0]) ==
             "- upstream u1: service s, 127.0.0.1:1, d, slots 3, "
             "max_connections 330");
  BOOST_TEST(ToString(diff[1]) ==
             "~ account a: rate 5, burst 9 -> rate 6, burst 9");
}

// Guards against a hash that does not cover a field, or that stays the same
// when bytes move from one field to the next.
BOOST_AUTO_TEST_CASE(ChainHashCoversEveryField) {
  proto::LogEntry entry;
  entry.set_note_id("ab");
  entry.set_author("c");
  const std::string hash = ChainHash(entry);
  BOOST_TEST(hash.size() == 16U);
  entry.set_note_id("a");
  entry.set_author("bc");
  BOOST_TEST(ChainHash(entry) != hash);
  entry.set_note_id("ab");
  entry.set_author("c");
  entry.set_predecessor_hash("1");
  BOOST_TEST(ChainHash(entry) != hash);
}

}  // namespace poplarfork::note
