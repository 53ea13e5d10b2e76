#include "health/crash_func.h"

#include <algorithm>

#include "health/attribution_func.h"

namespace poplarfork::health {

namespace {

// A first loss is kept for this time. A caller that repeats a request does so
// within it.
constexpr base::Duration kLossMemory = std::chrono::minutes(2);
constexpr std::size_t kAnsweredPositions = 1024;
constexpr std::size_t kMaxLosses = 1024;
constexpr std::size_t kMaxRefused = 4096;

bool WasAnswered(const CrashTable& table, std::uint64_t fingerprint) {
  if (table.answered.empty())
    return false;
  return table.answered[fingerprint % kAnsweredPositions] == fingerprint;
}

void TakeBack(ServiceHealth& health, const FirstLoss& loss) {
  const auto found = health.index.find(loss.upstream);
  if (found == health.index.end())
    return;
  UpstreamState& upstream = health.upstreams[found->second];
  double& score = upstream.tests.outcome_score;
  score = std::max(0.0, score - loss.counted);
  if (upstream.unreported_failures > 0)
    --upstream.unreported_failures;
}

void Refuse(CrashTable& table, std::uint64_t fingerprint, base::TimePoint now) {
  if (table.refused.size() >= kMaxRefused)
    table.refused.erase(table.refused.begin());
  table.refused[fingerprint] = now + kCrashRefusal;
}

}  // namespace

LossJudgement NoteLoss(ServiceHealth& health,
                       std::uint64_t fingerprint,
                       const base::UpstreamId& upstream,
                       base::TimePoint now) {
  CrashTable& table = health.crashes;
  if (fingerprint == 0 || WasAnswered(table, fingerprint))
    return LossJudgement::kNotTheRequest;
  const auto found = table.losses.find(fingerprint);
  if (found == table.losses.end()) {
    if (table.losses.size() < kMaxLosses)
      table.losses[fingerprint] = {upstream, now, 0};
    return LossJudgement::kFirstLoss;
  }
  if (found->second.upstream == upstream)
    return LossJudgement::kNotTheRequest;
  // When connections to most upstreams are lost, a repeated request can lose
  // two connections without being the cause.
  if (MostUpstreamsSilent(health, now))
    return LossJudgement::kNotTheRequest;
  TakeBack(health, found->second);
  table.losses.erase(found);
  Refuse(table, fingerprint, now);
  return LossJudgement::kCrashRequest;
}

void NoteLossEvidence(CrashTable& table,
                      std::uint64_t fingerprint,
                      double counted) {
  const auto found = table.losses.find(fingerprint);
  if (found != table.losses.end())
    found->second.counted = counted;
}

void NoteAnswered(CrashTable& table, std::uint64_t fingerprint) {
  if (fingerprint == 0)
    return;
  if (table.answered.empty())
    table.answered.resize(kAnsweredPositions);
  table.answered[fingerprint % kAnsweredPositions] = fingerprint;
  table.losses.erase(fingerprint);
}

bool RefuseAnnounced(CrashTable& table,
                     std::uint64_t fingerprint,
                     base::TimePoint now) {
  const bool is_new = table.refused.count(fingerprint) == 0;
  Refuse(table, fingerprint, now);
  return is_new;
}

void ExpireCrashes(CrashTable& table, base::TimePoint now, Actions& actions) {
  for (auto entry = table.refused.begin(); entry != table.refused.end();) {
    if (now < entry->second) {
      ++entry;
      continue;
    }
    Action action;
    action.kind = ActionKind::kAcceptFingerprint;
    action.reason = Reason::kFingerprintExpired;
    action.fingerprint = entry->first;
    actions.push_back(action);
    entry = table.refused.erase(entry);
  }
  std::erase_if(table.losses, [now](const auto& entry) {
    return now - entry.second.at >= kLossMemory;
  });
}

}  // namespace poplarfork::health
