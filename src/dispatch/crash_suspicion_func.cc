#include "dispatch/crash_suspicion_func.h"

#include <algorithm>
#include <map>
#include <set>

#include "dispatch/crash_record_func.h"
#include "dispatch/leaving_func.h"
#include "dispatch/rate_limit_func.h"

namespace poplarfork::dispatch {

namespace {

// Time after a broken connection in which the upstream is probed, and interval
// of the probes. A process that is ending may close its connections before it
// stops to listen.
constexpr base::Duration kCrashProbeTime = std::chrono::milliseconds(1500);
constexpr base::Duration kCrashProbeInterval = std::chrono::milliseconds(150);

// Most requests that run at a crashing upstream are never seen again, so the
// first crash is not logged.
constexpr std::uint32_t kMinLoggedCrashes = 2;

using Suspicions = std::map<base::UpstreamId, CrashSuspicion>;

base::TimePoint LastBrokeAt(const CrashSuspicion& suspicion) {
  return suspicion.broken_connections.back().broke_at;
}

// Returns the fingerprints of the requests whose connections broke, each once.
std::set<Fingerprint> SuspectedFingerprints(const CrashSuspicion& suspicion) {
  std::set<Fingerprint> fingerprints;
  for (const CrashSuspicion::BrokenConnection& broken :
       suspicion.broken_connections)
    fingerprints.insert(broken.fingerprint);
  return fingerprints;
}

// Sets the verdict on the runs of a fingerprint at an upstream.
void JudgeRuns(CrashRecord& record,
               const base::UpstreamId& upstream,
               RunVerdict verdict) {
  for (BrokenRun& run : record.runs) {
    if (run.upstream == upstream && run.verdict != RunVerdict::kCrash)
      run.verdict = verdict;
  }
}

// Counts the broken connections to an upstream as one crash for each
// fingerprint.
void ConfirmCrash(Dispatcher& dispatcher,
                  Suspicions::iterator suspicion,
                  const char* evidence,
                  base::TimePoint now,
                  Actions& actions) {
  const base::UpstreamId& upstream = suspicion->first;
  const CrashSuspicion& suspected = suspicion->second;
  for (const Fingerprint fingerprint : SuspectedFingerprints(suspected)) {
    CrashRecord* record = FindCrashRecord(dispatcher, fingerprint);
    if (!record)
      continue;
    JudgeRuns(*record, upstream, RunVerdict::kCrash);
    if (!UpdateCrashCount(*record, now) || record->has_one_query)
      continue;
    MarkUnshared(dispatcher, fingerprint);
    if (record->crashes < kMinLoggedCrashes)
      continue;
    actions.push_back(CrashCounted{suspected.service, upstream, fingerprint,
                                   record->crashes, evidence,
                                   now - LastBrokeAt(suspected)});
  }
  dispatcher.crash_suspicions.erase(suspicion);
}

// Notes that the upstream has responded after its connections broke.
void ClearSuspicion(Dispatcher& dispatcher,
                    Suspicions::iterator suspicion,
                    const char* reason,
                    Actions& actions) {
  if (suspicion->second.has_responded)
    return;
  suspicion->second.has_responded = true;
  for (const Fingerprint fingerprint :
       SuspectedFingerprints(suspicion->second)) {
    CrashRecord* record = FindCrashRecord(dispatcher, fingerprint);
    if (!record)
      continue;
    JudgeRuns(*record, suspicion->first, RunVerdict::kCleared);
    if (IsSuspicious(dispatcher, fingerprint))
      actions.push_back(CrashSuspicionDropped{suspicion->first, fingerprint,
                                              record->crashes, reason});
  }
}

// Tells whether a request with a suspicious fingerprint may have crashed the
// upstream.
bool IsCrashSuspected(const Dispatcher& dispatcher,
                      const CrashSuspicion& suspicion) {
  return std::any_of(suspicion.broken_connections.begin(),
                     suspicion.broken_connections.end(),
                     [&dispatcher](const auto& broken) {
                       return IsSuspicious(dispatcher, broken.fingerprint);
                     });
}

bool MayProbe(const CrashSuspicion& suspicion, base::TimePoint now) {
  return !suspicion.has_responded &&
         now - LastBrokeAt(suspicion) <= kCrashProbeTime;
}

void StartDueCrashProbe(Dispatcher& dispatcher,
                        const base::UpstreamId& id,
                        CrashSuspicion& suspicion,
                        base::TimePoint now,
                        Actions& actions) {
  if (suspicion.probe_running || suspicion.probe_not_before > now ||
      !MayProbe(suspicion, now) || !IsCrashSuspected(dispatcher, suspicion))
    return;
  for (auto& [shard, shard_state] : dispatcher.shards) {
    const auto upstream = shard_state.upstreams.find(id);
    if (upstream == shard_state.upstreams.end())
      continue;
    suspicion.probe_running = true;
    CountTowardsLimit(upstream->second, now);
  }
  if (suspicion.probe_running)
    actions.push_back(StartProbe{suspicion.service, id, suspicion.address,
                                 ProbePurpose::kCrash});
}

}  // namespace

void SuspectCrash(Dispatcher& dispatcher,
                  const fleet::UpstreamEntry& entry,
                  Fingerprint fingerprint,
                  base::TimePoint now) {
  CrashSuspicion& suspicion = dispatcher.crash_suspicions[entry.id];
  suspicion.service = entry.service;
  suspicion.address = entry.address;
  suspicion.incarnation = entry.incarnation;
  suspicion.has_responded = false;
  std::erase_if(suspicion.broken_connections, [now](const auto& broken) {
    return now - broken.broke_at > kCrashEvidenceTime;
  });
  suspicion.broken_connections.push_back({fingerprint, now});
}

void ConfirmCrashOf(Dispatcher& dispatcher,
                    const base::UpstreamId& upstream,
                    const char* evidence,
                    base::TimePoint now,
                    Actions& actions) {
  const auto suspicion = dispatcher.crash_suspicions.find(upstream);
  if (suspicion != dispatcher.crash_suspicions.end())
    ConfirmCrash(dispatcher, suspicion, evidence, now, actions);
}

void ClearSuspicionOf(Dispatcher& dispatcher,
                      const base::UpstreamId& upstream,
                      base::TimePoint granted_at,
                      Actions& actions) {
  const auto suspicion = dispatcher.crash_suspicions.find(upstream);
  if (suspicion != dispatcher.crash_suspicions.end() &&
      granted_at >= LastBrokeAt(suspicion->second))
    ClearSuspicion(dispatcher, suspicion, "responded", actions);
}

void StartDueCrashProbeOf(Dispatcher& dispatcher,
                          const base::UpstreamId& upstream,
                          base::TimePoint now,
                          Actions& actions) {
  const auto suspicion = dispatcher.crash_suspicions.find(upstream);
  if (suspicion != dispatcher.crash_suspicions.end())
    StartDueCrashProbe(dispatcher, upstream, suspicion->second, now, actions);
}

void CheckForRestart(Dispatcher& dispatcher,
                     const fleet::UpstreamRecord& record,
                     base::TimePoint now,
                     Actions& actions) {
  const fleet::UpstreamEntry& entry = record.entry;
  const auto own = dispatcher.crash_suspicions.find(entry.id);
  if (own != dispatcher.crash_suspicions.end()) {
    if (!record.removed && entry.incarnation != own->second.incarnation)
      ConfirmCrash(dispatcher, own, "restarted", now, actions);
    else if (!record.removed && entry.phase != fleet::UpstreamPhase::kReady)
      ClearSuspicion(dispatcher, own, "leaving", actions);
    else if (record.removed && !own->second.has_responded &&
             !IsLeaving(dispatcher, entry.id))
      ConfirmCrash(dispatcher, own, "entry removed", now, actions);
  }
  if (record.removed)
    return;
  const auto known = dispatcher.upstreams.find(entry.id);
  if (known != dispatcher.upstreams.end() &&
      known->second.incarnation == entry.incarnation)
    return;
  const auto predecessor = std::find_if(
      dispatcher.crash_suspicions.begin(), dispatcher.crash_suspicions.end(),
      [&entry](const auto& item) {
        return item.first != entry.id && item.second.address == entry.address;
      });
  if (predecessor != dispatcher.crash_suspicions.end())
    ConfirmCrash(dispatcher, predecessor, "address taken", now, actions);
}

bool HandleCrashProbeResult(Dispatcher& dispatcher,
                            const base::UpstreamId& upstream,
                            ProbeResult result,
                            base::TimePoint now,
                            Actions& actions) {
  const auto suspicion = dispatcher.crash_suspicions.find(upstream);
  if (suspicion == dispatcher.crash_suspicions.end() ||
      !suspicion->second.probe_running)
    return false;
  suspicion->second.probe_running = false;
  suspicion->second.probe_not_before = now + kCrashProbeInterval;
  switch (result) {
    case ProbeResult::kHealthy:
      ClearSuspicion(dispatcher, suspicion, "probe healthy", actions);
      break;
    case ProbeResult::kRefused:
      ConfirmCrash(dispatcher, suspicion, "probe refused", now, actions);
      break;
    case ProbeResult::kOtherInstance:
      ConfirmCrash(dispatcher, suspicion, "another instance", now, actions);
      break;
    case ProbeResult::kUnhealthy:
      break;
  }
  return true;
}

void StartDueCrashProbes(Dispatcher& dispatcher,
                         base::TimePoint now,
                         Actions& actions) {
  for (auto& [id, suspicion] : dispatcher.crash_suspicions)
    StartDueCrashProbe(dispatcher, id, suspicion, now, actions);
}

bool NeedsCrashProbes(const Dispatcher& dispatcher, base::TimePoint now) {
  return std::any_of(
      dispatcher.crash_suspicions.begin(), dispatcher.crash_suspicions.end(),
      [now](const auto& item) { return MayProbe(item.second, now); });
}

void ExpireSuspicions(Dispatcher& dispatcher, base::TimePoint now) {
  std::erase_if(dispatcher.crash_suspicions, [now](const auto& item) {
    return now - LastBrokeAt(item.second) > kCrashEvidenceTime;
  });
}

}  // namespace poplarfork::dispatch
