#include "replay/expectation_func.h"

#include <limits>
#include <set>

#include <yaml-cpp/yaml.h>

#include "base/error_func.h"

namespace poplarfork::replay {

namespace {

// Throws for an unknown key, so that a misspelled key can't disable a check.
void RejectUnknownKeys(const YAML::Node& node,
                       const std::set<std::string>& known) {
  for (const auto& entry : node) {
    const auto key = entry.first.as<std::string>();
    if (known.count(key) == 0)
      throw YAML::RepresentationException(entry.first.Mark(),
                                          "unknown key " + key);
  }
}

ExpectedDecision ParseExpectedDecision(const YAML::Node& node) {
  RejectUnknownKeys(node, {"decision", "reason", "upstream", "except",
                           "at_least", "at_most", "before_s"});
  constexpr std::uint64_t kUnbounded =
      std::numeric_limits<std::uint64_t>::max();
  ExpectedDecision decision;
  decision.decision = node["decision"].as<std::string>();
  decision.reason = node["reason"].as<std::string>("");
  decision.upstream = node["upstream"].as<std::string>("");
  decision.excluded_upstreams =
      node["except"].as<std::vector<std::string>>(std::vector<std::string>{});
  decision.min_count = node["at_least"].as<std::uint64_t>(0);
  decision.max_count = node["at_most"].as<std::uint64_t>(kUnbounded);
  if (node["before_s"]) {
    const double seconds = node["before_s"].as<double>();
    decision.time_limit =
        base::Duration(static_cast<std::int64_t>(seconds * 1e6));
  }
  return decision;
}

}  // namespace

base::Result<Expectation> ReadExpectation(const std::string& file) {
  try {
    const YAML::Node root = YAML::LoadFile(file);
    RejectUnknownKeys(root, {"trace", "decisions", "floor_violations"});
    Expectation expectation;
    expectation.trace_file = root["trace"].as<std::string>();
    expectation.floor_violations = root["floor_violations"].as<std::uint64_t>();
    for (const YAML::Node& node : root["decisions"])
      expectation.decisions.push_back(ParseExpectedDecision(node));
    return expectation;
  } catch (const YAML::Exception& exception) {
    return base::MakeError(base::ErrorCode::kMalformed, base::Step::kReplay,
                           file, exception.what());
  }
}

}  // namespace poplarfork::replay
