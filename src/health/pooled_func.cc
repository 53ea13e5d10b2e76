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
constexpr double kFaultyUpstreamBadShare = 0.3;
// An observer counts as agreeing for this time after its last report of a bad
// request or of avoiding the upstream.
constexpr base::Duration kObserverReportLifetime = std::chrono::seconds(5);
// Pooled scores that were not updated for this time are removed.
constexpr base::Duration kPooledScoreLifetime = std::chrono::seconds(30);
// A data centre sees a fault if this many of its daemons avoid the upstream.
// One is enough if the data centre has only one daemon of the group.
constexpr std::size_t kRequiredAvoidingObservers = 2;
// In the check for service-wide faults, an upstream counts as suspect if its
// score reaches this share of the threshold.
constexpr double kSuspectThresholdShare = 1.0 / 3;
// A score is capped at this multiple of the threshold, so that it falls below
// the threshold soon after the upstream has recovered.
constexpr double kMaxScoreInThresholds = 2;
// Limits the number of bad requests counted from one report item, so that a
// faulty reporter cannot decide alone.
constexpr std::uint32_t kMaxBadPerItem = 20;

std::size_t CountMembers(const ServiceHealth& health,
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
  const auto members = static_cast<double>(CountMembers(health, data_centre));
  return per_daemon * members / static_cast<double>(health.upstreams.size());
}

// Returns the score after it has decayed for the time without bad requests
// since it was last updated.
double ScoreAt(const ServiceHealth& health,
               const base::DataCentreId& data_centre,
               const PooledScore& pooled,
               const BaseRates& rates,
               base::TimePoint now) {
  const double healthy_bad_share =
      rates.failed_response + rates.transport_failure + rates.slow;
  const double decay_per_second =
      std::max(0.0, kFaultyUpstreamBadShare - healthy_bad_share) *
      ExpectedRate(health, data_centre, now);
  const double seconds =
      std::chrono::duration<double>(now - pooled.updated_at).count();
  return std::max(0.0, pooled.score - decay_per_second * seconds);
}

double BadRequestWeight(double healthy_bad_share) {
  return std::max(0.0, std::log(kFaultyUpstreamBadShare / healthy_bad_share));
}

void AddReportItem(ServiceHealth& health,
                   const HealthReport& report,
                   const ReportItem& item,
                   const BaseRates& rates,
                   base::TimePoint now) {
  PooledScore& pooled = health.coordinator.upstreams[item.upstream]
                            .by_data_centre[report.data_centre];
  pooled.score = ScoreAt(health, report.data_centre, pooled, rates, now);
  pooled.updated_at = now;
  if (item.avoiding)
    pooled.last_avoidance_reports[report.observer] = now;
  if (item.failures == 0 && item.slow == 0)
    return;
  if (pooled.score <= 0)
    pooled.first_bad = now;
  pooled.last_bad = now;
  pooled.last_bad_reports[report.observer] = now;
  const double failure = rates.failed_response + rates.transport_failure;
  pooled.score +=
      std::min(item.failures, kMaxBadPerItem) * BadRequestWeight(failure);
  pooled.score +=
      std::min(item.slow, kMaxBadPerItem) * BadRequestWeight(rates.slow);
  pooled.score = std::min(
      pooled.score, kMaxScoreInThresholds * health.parameters.fleet_threshold);
}

std::size_t CountRecent(
    const std::map<base::DaemonId, base::TimePoint>& report_times,
    base::TimePoint now) {
  return static_cast<std::size_t>(std::count_if(
      report_times.begin(), report_times.end(), [now](const auto& seen) {
        return now - seen.second < kObserverReportLifetime;
      }));
}

// Returns true if the daemons of one data centre see the fault.
bool SeesFault(const ServiceHealth& health,
               const base::DataCentreId& data_centre,
               const PooledScore& pooled,
               const BaseRates& rates,
               base::TimePoint now) {
  const std::size_t members = CountMembers(health, data_centre);
  const std::size_t required =
      std::clamp<std::size_t>(members, 1, kRequiredAvoidingObservers);
  if (CountRecent(pooled.last_avoidance_reports, now) >= required)
    return true;
  const DetectionParameters& parameters = health.parameters;
  const double score = ScoreAt(health, data_centre, pooled, rates, now);
  return score >= parameters.fleet_threshold &&
         pooled.last_bad - pooled.first_bad >= parameters.min_fleet_span;
}

std::size_t CountDataCentres(const std::vector<GroupMember>& members) {
  std::set<base::DataCentreId> data_centres;
  for (const GroupMember& member : members)
    data_centres.insert(member.data_centre);
  return data_centres.size();
}

}  // namespace

void AddPooledEvidence(ServiceHealth& health,
                       const HealthReport& report,
                       base::TimePoint now) {
  if (health.upstreams.empty())
    return;
  health.coordinator.request_rates[report.observer] = report.request_rate;
  const BaseRates rates = BaseRatesOfAllUpstreams(health, now);
  for (const ReportItem& item : report.items) {
    if (health.index_by_id.count(item.upstream) > 0)
      AddReportItem(health, report, item, rates, now);
  }
}

PooledResult EvaluatePooledEvidence(const ServiceHealth& health,
                                    std::uint32_t index,
                                    base::TimePoint now) {
  PooledResult result;
  const UpstreamState& upstream = health.upstreams[index];
  const auto found = health.coordinator.upstreams.find(upstream.id);
  if (found == health.coordinator.upstreams.end())
    return result;
  const BaseRates rates = BaseRatesExcluding(health, index, now);
  bool own_data_centre_sees_fault =
      CountMembers(health, upstream.data_centre) == 0;
  for (const auto& [data_centre, pooled] : found->second.by_data_centre) {
    result.score = std::max(result.score,
                            ScoreAt(health, data_centre, pooled, rates, now));
    if (!SeesFault(health, data_centre, pooled, rates, now))
      continue;
    ++result.data_centres;
    result.observers += static_cast<std::uint32_t>(
        std::max(CountRecent(pooled.last_bad_reports, now),
                 CountRecent(pooled.last_avoidance_reports, now)));
    if (data_centre == upstream.data_centre)
      own_data_centre_sees_fault = true;
  }
  if (result.data_centres == 0)
    return result;
  const bool single_data_centre = CountDataCentres(health.members) < 2;
  const bool observers_agree =
      result.observers >= 2 &&
      (single_data_centre ||
       (result.data_centres >= 2 && own_data_centre_sees_fault));
  result.reason =
      observers_agree ? Reason::kObserversAgree : Reason::kOneLocation;
  return result;
}

bool IsPooledEvidenceServiceWide(const ServiceHealth& health,
                                 base::TimePoint now) {
  const BaseRates rates = BaseRatesOfAllUpstreams(health, now);
  const double suspect_score =
      health.parameters.fleet_threshold * kSuspectThresholdShare;
  std::size_t suspects = 0;
  for (const auto& [upstream, pooled] : health.coordinator.upstreams) {
    double highest = 0;
    for (const auto& [data_centre, score] : pooled.by_data_centre) {
      highest =
          std::max(highest, ScoreAt(health, data_centre, score, rates, now));
    }
    if (highest >= suspect_score)
      ++suspects;
  }
  return suspects >= 3 && suspects * 2 > health.upstreams.size();
}

void ExpirePooledEvidence(ServiceHealth& health, base::TimePoint now) {
  auto& upstreams = health.coordinator.upstreams;
  for (auto entry = upstreams.begin(); entry != upstreams.end();) {
    auto& by_data_centre = entry->second.by_data_centre;
    std::erase_if(by_data_centre, [now](const auto& pooled) {
      return now - pooled.second.updated_at >= kPooledScoreLifetime;
    });
    entry = by_data_centre.empty() ? upstreams.erase(entry) : std::next(entry);
  }
}

}  // namespace poplarfork::health
