#include "soak/configuration_check_func.h"

#include <algorithm>
#include <chrono>

#include "soak/options_type.h"

namespace poplarfork::soak {

namespace {

// Returns when the effect of `version` or a later one was first seen.
base::TimePoint FirstSeenAt(const GatewayHistory& history,
                            std::uint64_t version) {
  base::TimePoint first = base::TimePoint::max();
  for (auto seen = history.first_seen_at.lower_bound(version);
       seen != history.first_seen_at.end(); ++seen)
    first = std::min(first, seen->second);
  return first;
}

std::string FormatMilliseconds(base::Duration duration) {
  return std::to_string(
             std::chrono::duration_cast<std::chrono::milliseconds>(duration)
                 .count()) +
         " ms";
}

std::string DescribeProbe(const Probe& probe) {
  return "gateway " + std::to_string(probe.gateway) + ", version " +
         std::to_string(probe.version);
}

}  // namespace

void RecordAcknowledgement(ConfigurationCheck& check,
                           std::uint64_t version,
                           base::TimePoint now) {
  check.acknowledged_at[version] = now;
}

void RecordDisturbance(ConfigurationCheck& check,
                       std::uint32_t gateway,
                       base::TimePoint until) {
  GatewayHistory& history = check.gateways.at(gateway);
  history.disturbed_until = std::max(history.disturbed_until, until);
}

void RecordNewProcess(ConfigurationCheck& check,
                      std::uint32_t gateway,
                      base::TimePoint now) {
  check.gateways.at(gateway).first_seen_at.clear();
  RecordDisturbance(check, gateway, now);
}

void RecordProbeResult(ConfigurationCheck& check,
                       const Probe& probe,
                       unsigned status,
                       base::TimePoint now) {
  GatewayHistory& history = check.gateways.at(probe.gateway);
  if (status == 200) {
    history.first_seen_at.try_emplace(probe.version, now);
    return;
  }
  if (status != 404)
    return;
  const base::TimePoint seen_at = FirstSeenAt(history, probe.version);
  if (seen_at != base::TimePoint::max() &&
      probe.sent_at - seen_at > kRegressionSlack)
    check.violations.push_back(DescribeProbe(probe) + ": gone " +
                               FormatMilliseconds(probe.sent_at - seen_at) +
                               " after its effect was seen");
  if (probe.sent_at < history.disturbed_until + kExcuseTime)
    return;
  const base::Duration delay =
      probe.sent_at - check.acknowledged_at.at(probe.version);
  check.longest_delay = std::max(check.longest_delay, delay);
  if (delay > kConfigurationBound)
    check.violations.push_back(DescribeProbe(probe) + ": not in force " +
                               FormatMilliseconds(delay) +
                               " after its acknowledgement");
}

}  // namespace poplarfork::soak
