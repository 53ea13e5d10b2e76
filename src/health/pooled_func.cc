#include "health/pooled_func.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>

#include "health/rate_func.h"

namespace poplarfork::health {

namespace {

// Share of bad requests at a faulty upstream for which the pooled test is
// designed.
constexpr double kFaultyShare = 0.3;
// An observer counts as agreeing for this time after its last report of a bad
// request or of avoiding the upstream.
constexpr base::Duration kObserverMemory = std::chrono::seconds(5);
// Pooled scores that were not updated for this time are removed.
constexpr base::Duration kPooledMemory = std::chrono::seconds(30);
// A data centre sees a fault if this many of its daemons avoid the upstream.
// One is enough if the data centre has only one daemon of the group.
constexpr std::size_t kAvoidingObservers = 2;
// In the check for service-wide faults, an upstream counts as suspect if its
// score reaches this share of the threshold.
constexpr double kSuspectPart = 1.0 / 3;
// A score is capped at this multiple of the threshold, so that it falls below
// the threshold soon after the upstream has recovered.
constexpr double kMaximumThresholds = 2;
// Limits the number of bad requests counted from one report item, so that a
// faulty reporter cannot decide alone.
constexpr std::uint32_t kMaxBadPerItem = 20;

std::size_t MembersIn(const ServiceHealth& health,
                      const base::DataCentreId& data_centre) {
  return static_cast<std::size_t>(
      std::count_if(health.members.begin(), health.members.end(),
                    [&data_centre](const GroupMember& member) {
                      return member.data_centre == data_centre;
                    }));
}

// Returns the requests per second that the daemons of one data centre are
// expected to send to one upstream.
double ExpectedRate(const ServiceHealth& health,
                    const base::DataCentreId& data_centre,
                    base::TimePoint now) {
  double sum = RequestRate(health, now);
  for (const auto& [daemon, rate] : health.coordinator.request_rates)
    sum += rate;
  const auto reporters =
      static_cast<double>(health.coordinator.request_rates.size());
  const double per_daemon = sum / (reporters + 1);
  const auto members = static_cast<double>(MembersIn(health, data_centre));
  return per_daemon * members / static_cast<double>(health.upstreams.size());
}

// Returns the score after it has decayed for the time without bad requests
// since it was last updated.
double ScoreAt(const ServiceHealth& health,
               const base::DataCentreId& data_centre,
               const PooledScore& pooled,
               const BaseRates& rates,
               base::TimePoint now) {
  const double healthy =
      rates.answer_failure + rates.transport_failure + rates.slow;
  const double drain = std::max(0.0, kFaultyShare - healthy) *
                       ExpectedRate(health, data_centre, now);
  const double seconds = std::chrono::duration<double>(now - pooled.at).count();
  return std::max(0.0, pooled.score - drain * seconds);
}

double Weight(double healthy_share) {
  return std::max(0.0, std::log(kFaultyShare / healthy_share));
}

void AddItem(ServiceHealth& health,
             const HealthReport& report,
             const ReportItem& item,
             const BaseRates& rates,
             base::TimePoint now) {
  PooledScore& pooled = health.coordinator.upstreams[item.upstream]
                            .by_data_centre[report.data_centre];
  pooled.score = ScoreAt(health, report.data_centre, pooled, rates, now);
  pooled.at = now;
  if (item.avoiding)
    pooled.avoiding[report.observer] = now;
  if (item.failures == 0 && item.slow == 0)
    return;
  if (pooled.score <= 0)
    pooled.first_bad = now;
  pooled.last_bad = now;
  pooled.observers[report.observer] = now;
  const double failure = rates.answer_failure + rates.transport_failure;
  pooled.score += std::min(item.failures, kMaxBadPerItem) * Weight(failure);
  pooled.score += std::min(item.slow, kMaxBadPerItem) * Weight(rates.slow);
  pooled.score = std::min(
      pooled.score, kMaximumThresholds * health.parameters.fleet_threshold);
}

std::size_t Recent(const std::map<base::DaemonId, base::TimePoint>& observers,
                   base::TimePoint now) {
  return static_cast<std::size_t>(std::count_if(
      observers.begin(), observers.end(),
      [now](const auto& seen) { return now - seen.second < kObserverMemory; }));
}

// Returns true if the daemons of one data centre see the fault.
bool SeesFault(const ServiceHealth& health,
               const base::DataCentreId& data_centre,
               const PooledScore& pooled,
               const BaseRates& rates,
               base::TimePoint now) {
  const std::size_t members = MembersIn(health, data_centre);
  const std::size_t needed =
      std::clamp<std::size_t>(members, 1, kAvoidingObservers);
  if (Recent(pooled.avoiding, now) >= needed)
    return true;
  const Parameters& parameters = health.parameters;
  const double score = ScoreAt(health, data_centre, pooled, rates, now);
  return score >= parameters.fleet_threshold &&
         pooled.last_bad - pooled.first_bad >= parameters.fleet_span;
}

std::size_t DataCentresOf(const std::vector<GroupMember>& members) {
  std::set<base::DataCentreId> data_centres;
  for (const GroupMember& member : members)
    data_centres.insert(member.data_centre);
  return data_centres.size();
}

}  // namespace

void AddPooled(ServiceHealth& health,
               const HealthReport& report,
               base::TimePoint now) {
  if (health.upstreams.empty())
    return;
  health.coordinator.request_rates[report.observer] = report.request_rate;
  const BaseRates rates = BaseRatesOfAll(health, now);
  for (const ReportItem& item : report.items) {
    if (health.index.count(item.upstream) > 0)
      AddItem(health, report, item, rates, now);
  }
}

PooledVerdict JudgePooled(const ServiceHealth& health,
                          std::uint32_t index,
                          base::TimePoint now) {
  PooledVerdict verdict;
  const UpstreamState& upstream = health.upstreams[index];
  const auto found = health.coordinator.upstreams.find(upstream.id);
  if (found == health.coordinator.upstreams.end())
    return verdict;
  const BaseRates rates = BaseRatesWithout(health, index, now);
  bool own_data_centre_sees = MembersIn(health, upstream.data_centre) == 0;
  for (const auto& [data_centre, pooled] : found->second.by_data_centre) {
    verdict.score = std::max(verdict.score,
                             ScoreAt(health, data_centre, pooled, rates, now));
    if (!SeesFault(health, data_centre, pooled, rates, now))
      continue;
    ++verdict.data_centres;
    verdict.observers += static_cast<std::uint32_t>(
        std::max(Recent(pooled.observers, now), Recent(pooled.avoiding, now)));
    if (data_centre == upstream.data_centre)
      own_data_centre_sees = true;
  }
  if (verdict.data_centres == 0)
    return verdict;
  const bool single = DataCentresOf(health.members) < 2;
  const bool enough =
      verdict.observers >= 2 &&
      (single || (verdict.data_centres >= 2 && own_data_centre_sees));
  verdict.reason = enough ? Reason::kObserversAgree : Reason::kOneLocation;
  return verdict;
}

bool PooledEvidenceIsServiceWide(const ServiceHealth& health,
                                 base::TimePoint now) {
  const BaseRates rates = BaseRatesOfAll(health, now);
  const double suspect = health.parameters.fleet_threshold * kSuspectPart;
  std::size_t suspects = 0;
  for (const auto& [upstream, pooled] : health.coordinator.upstreams) {
    double highest = 0;
    for (const auto& [data_centre, score] : pooled.by_data_centre) {
      highest =
          std::max(highest, ScoreAt(health, data_centre, score, rates, now));
    }
    if (highest >= suspect)
      ++suspects;
  }
  return suspects >= 3 && suspects * 2 > health.upstreams.size();
}

void ExpirePooled(ServiceHealth& health, base::TimePoint now) {
  auto& upstreams = health.coordinator.upstreams;
  for (auto entry = upstreams.begin(); entry != upstreams.end();) {
    auto& by_data_centre = entry->second.by_data_centre;
    std::erase_if(by_data_centre, [now](const auto& pooled) {
      return now - pooled.second.at >= kPooledMemory;
    });
    entry = by_data_centre.empty() ? upstreams.erase(entry) : std::next(entry);
  }
}

}  // namespace poplarfork::health
