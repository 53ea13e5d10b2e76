#include <boost/test/unit_test.hpp>

#include <string>

#include "base/error_func.h"
#include "gateway/settings_table.h"
#include "settings/table_reader.h"

namespace poplarfork::gateway {

namespace {

base::Result<Settings> ParseWith(const std::string& lines) {
  return settings::reader::ParseText(GetSettingsEntries(),
                                     "name: g\n"
                                     "data_centre: a\n"
                                     "front_address: 127.0.0.1:1\n"
                                     "ready_address: 127.0.0.1:2\n"
                                     "control_address: 127.0.0.1:3\n"
                                     "directory_address: 127.0.0.1:4\n"
                                     "peer_address: 127.0.0.1:5\n"
                                     "store_address: 127.0.0.1:6\n" +
                                         lines,
                                     "g.yaml");
}

}  // namespace

// Guards against gateways that refuse keys although the operator asked for
// nothing, or that do not start because of how a switch is written.
BOOST_AUTO_TEST_CASE(RevocationSettingsAreRead) {
  const auto defaults = ParseWith("");
  BOOST_REQUIRE(defaults.has_value());
  BOOST_TEST((defaults.value().key_revocation_limit == base::Duration(0)));
  BOOST_TEST(!defaults.value().strict_key_revocation);
  const auto limit = ParseWith("key_revocation_limit: 5s\n");
  BOOST_REQUIRE(limit.has_value());
  BOOST_TEST((limit.value().key_revocation_limit == std::chrono::seconds(5)));
  for (const char* on : {"true", "True", "1"})
    BOOST_TEST(ParseWith(std::string("strict_key_revocation: ") + on)
                   .value()
                   .strict_key_revocation,
               on);
  for (const char* off : {"false", "False", "0"})
    BOOST_TEST(!ParseWith(std::string("strict_key_revocation: ") + off)
                    .value()
                    .strict_key_revocation,
               off);
  for (const char* wrong : {"2", "maybe", "[true]", "''"}) {
    const auto parsed =
        ParseWith(std::string("strict_key_revocation: ") + wrong);
    BOOST_REQUIRE_MESSAGE(!parsed.has_value(), wrong);
    const std::string text = base::ToString(parsed.error());
    BOOST_TEST(text.find("g.yaml:9: wrong type: strict_key_revocation: "
                         "expected true or false") != text.npos,
               text);
  }
}

}  // namespace poplarfork::gateway
