#include "health/crash_func.h"

#include <algorithm>

#include "health/attribution_func.h"

namespace poplarfork::health {

namespace {

// A first loss is kept for this time. A caller that repeats a request does so
// within it.
constexpr base::Duration kLossLifetime = std::chrono::minutes(2);
constexpr std::size_t kAnsweredTableSize = 1024;
constexpr std::size_t kMaxLosses = 1024;
constexpr std::size_t kMaxRefusedFingerprints = 4096;

bool WasRecentlyAnswered(const CrashTable& table, std::uint64_t fingerprint) {
  if (table.answered_fingerprints.empty())
    return false;
  return table.answered_fingerprints[fingerprint % kAnsweredTableSize] ==
         fingerprint;
}

void SubtractLossEvidence(ServiceHealth& health, const FirstLoss& loss) {
  const auto found = health.index_by_id.find(loss.upstream);
  if (found == health.index_by_id.end())
    return;
  UpstreamState& upstream = health.upstreams[found->second];
  double& score = upstream.detector_state.outcome_score;
  score = std::max(0.0, score - loss.counted_outcome_score);
  if (upstream.unreported_failures > 0)
    --upstream.unreported_failures;
}

void RefuseFingerprint(CrashTable& table,
                       std::uint64_t fingerprint,
                       base::TimePoint now) {
  if (table.refused_until.size() >= kMaxRefusedFingerprints)
    table.refused_until.erase(table.refused_until.begin());
  table.refused_until[fingerprint] = now + kCrashRefusalTime;
}

}  // namespace

LossAttribution RecordLoss(ServiceHealth& health,
                           std::uint64_t fingerprint,
                           const base::UpstreamId& upstream,
                           base::TimePoint now) {
  CrashTable& table = health.crash_table;
  if (fingerprint == 0 || WasRecentlyAnswered(table, fingerprint))
    return LossAttribution::kNotRequestFault;
  const auto found = table.first_losses.find(fingerprint);
  if (found == table.first_losses.end()) {
    if (table.first_losses.size() < kMaxLosses)
      table.first_losses[fingerprint] = {upstream, now, 0};
    return LossAttribution::kFirstLoss;
  }
  if (found->second.upstream == upstream)
    return LossAttribution::kNotRequestFault;
  // When connections to most upstreams are lost, a repeated request can lose
  // two connections without being the cause.
  if (MostUpstreamsUnresponsive(health, now))
    return LossAttribution::kNotRequestFault;
  SubtractLossEvidence(health, found->second);
  table.first_losses.erase(found);
  RefuseFingerprint(table, fingerprint, now);
  return LossAttribution::kCrashRequest;
}

void RecordLossEvidence(CrashTable& table,
                        std::uint64_t fingerprint,
                        double counted_outcome_score) {
  const auto found = table.first_losses.find(fingerprint);
  if (found != table.first_losses.end())
    found->second.counted_outcome_score = counted_outcome_score;
}

void RecordAnswered(CrashTable& table, std::uint64_t fingerprint) {
  if (fingerprint == 0)
    return;
  if (table.answered_fingerprints.empty())
    table.answered_fingerprints.resize(kAnsweredTableSize);
  table.answered_fingerprints[fingerprint % kAnsweredTableSize] = fingerprint;
  table.first_losses.erase(fingerprint);
}

bool RefuseAnnouncedFingerprint(CrashTable& table,
                                std::uint64_t fingerprint,
                                base::TimePoint now) {
  const bool is_new = table.refused_until.count(fingerprint) == 0;
  RefuseFingerprint(table, fingerprint, now);
  return is_new;
}

void ExpireCrashTable(CrashTable& table,
                      base::TimePoint now,
                      Actions& actions) {
  for (auto entry = table.refused_until.begin();
       entry != table.refused_until.end();) {
    if (now < entry->second) {
      ++entry;
      continue;
    }
    Action action;
    action.kind = ActionKind::kAcceptFingerprint;
    action.reason = Reason::kFingerprintExpired;
    action.fingerprint = entry->first;
    actions.push_back(action);
    entry = table.refused_until.erase(entry);
  }
  std::erase_if(table.first_losses, [now](const auto& entry) {
    return now - entry.second.lost_at >= kLossLifetime;
  });
}

}  // namespace poplarfork::health
