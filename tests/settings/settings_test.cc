#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <string>

#include "base/error_func.h"
#include "settings/settings_func.h"

namespace poplarfork::settings {

namespace {

const std::string kValidSettings =
    "edge_address: 127.0.0.1:0\n"
    "admin_address: 127.0.0.1:0\n"
    "peer_address: 127.0.0.1:0\n"
    "data_centre: oslo-1\n"
    "store_address: 127.0.0.1:2379\n"
    "cluster_key: secret\n";

// A line that makes the settings invalid, and a part of the expected error
// message.
struct InvalidEntryCase {
  const char* line;
  const char* expected_message;
};

std::ostream& operator<<(std::ostream& out,
                         const InvalidEntryCase& invalid_entry) {
  return out << invalid_entry.line;
}

const InvalidEntryCase kInvalidEntryCases[] = {
    {"tick: 5", "d.yaml:7: unknown key: tick"},
    {"tick_ms: 5",
     "d.yaml:7: out of range: tick_ms: expected a whole "
     "number from 10 to 1000 ms"},
    {"tick_ms: soon", "d.yaml:7: wrong type: tick_ms"},
    {"seeds: [localhost:1]", "d.yaml:7: wrong type: seeds"},
    {"vm_list_address: vm-list:80", "d.yaml:7: out of range: vm_list_address"},
    {"data_centre: x", "d.yaml:7: conflict: data_centre"},
    {"seeds: [", "d.yaml:8: malformed"},
};

}  // namespace

// Guards against missing default values when a file contains only the required
// keys.
BOOST_AUTO_TEST_CASE(DefaultsApply) {
  const auto settings = ParseSettings(kValidSettings, "d.yaml");
  BOOST_REQUIRE(settings.has_value());
  BOOST_TEST(settings.value().tick_ms == 100);
  BOOST_TEST(settings.value().data_centre == "oslo-1");
}

// Guards against invalid settings that are accepted, or that are reported
// without the file, the line, the key and the accepted range.
BOOST_DATA_TEST_CASE(InvalidEntryErrorNamesFileLineAndKey,
                     boost::unit_test::data::make(kInvalidEntryCases),
                     invalid_entry) {
  const auto settings =
      ParseSettings(kValidSettings + invalid_entry.line + "\n", "d.yaml");
  BOOST_REQUIRE(!settings.has_value());
  const std::string text = base::ToString(settings.error());
  BOOST_TEST(text.find(invalid_entry.expected_message) != std::string::npos,
             text);
}

// Guards against a daemon that starts without settings that it needs, such as
// its own addresses.
BOOST_AUTO_TEST_CASE(MissingRequiredKeyIsAnError) {
  const auto settings = ParseSettings("data_centre: a\n", "d.yaml");
  BOOST_REQUIRE(!settings.has_value());
  BOOST_TEST((settings.error().code == base::ErrorCode::kMissing));
}

}  // namespace poplarfork::settings
