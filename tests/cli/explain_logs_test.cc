#include "cli/explain_logs_func.h"

#include <boost/test/unit_test.hpp>

namespace poplarfork::cli {

namespace {

const char* const kFirstLog =
    R"(  7.1 edge-1 {"unix_us":2000000,"daemon":"g1","event":"placed","request":"r","upstream":"u"})"
    "\nno line\n"
    R"({"unix_us":2500000,"daemon":"g1","event":"answered","request":"r","status":502})"
    "\n"
    R"({"unix_us":2400000,"daemon":"g1","event":"answered","request":"other","status":200})";
const char* const kSecondLog =
    R"({"unix_us":2600000,"daemon":"g2","event":"upstream_standing","upstream":"u","reason":"requests fail"})"
    "\n"
    R"({"unix_us":2600000,"daemon":"g2","event":"upstream_standing","upstream":"v"})"
    "\n{\"unix_us\":\"soon\",\"event\":\"placed\",\"request\":\"r\"}\n{broken";

}  // namespace

// Guards against an explanation that lacks the lines about the upstream's
// health, includes other requests, or stops at a line that cannot be parsed.
BOOST_AUTO_TEST_CASE(LinesOfSeveralGatewaysAreMerged) {
  const CommandResult result =
      ExplainLogs("r", {kFirstLog, kSecondLog}, OutputFormat::kTable);
  const std::string& text = result.standard_output;
  BOOST_TEST(text ==
             "     +0.00 ms  g1  placed  upstream=u\n"
             "   +500.00 ms  g1  answered  status=502\n"
             "   +600.00 ms  g2  upstream_standing  upstream=u  "
             "reason=requests fail\n");
  BOOST_TEST(
      (ExplainLogs("none", {kFirstLog}, OutputFormat::kTable).exit_code ==
       ExitCode::kRejected));
  BOOST_TEST(ExplainLogs("r", {kFirstLog}, OutputFormat::kJson)
                 .standard_output.starts_with("["));
}

}  // namespace poplarfork::cli
