#include "dispatch/crash_func.h"

#include <algorithm>
#include <set>

#include "dispatch/crash_record_func.h"
#include "dispatch/crash_suspicion_func.h"

namespace poplarfork::dispatch {

namespace {

// Time in which the outcome of an admitted request shows. Others with its
// fingerprint are refused meanwhile.
constexpr base::Duration kAdmissionInterval = std::chrono::seconds(10);

// A record is dropped when no request with its fingerprint has come for this
// long.
constexpr base::Duration kRecordLifetime = std::chrono::seconds(120);
constexpr base::Duration kRefusedRecordLifetime = std::chrono::hours(1);

// Upper limit of the records. A mass failure of upstreams leaves one for each
// request that was running.
constexpr std::size_t kMaxCrashRecords = 20000;

// Interval at which old records are looked for. After a mass failure there are
// many.
constexpr base::Duration kExpiryInterval = std::chrono::milliseconds(500);

// Returns the fingerprints of a request, each once.
std::set<Fingerprint> Distinct(const RequestFingerprints& fingerprints) {
  std::set<Fingerprint> distinct = {fingerprints.call, fingerprints.content,
                                    fingerprints.family};
  distinct.erase(Fingerprint{});
  return distinct;
}

void RecordBrokenRun(Dispatcher& dispatcher,
                     const UpstreamState& upstream,
                     const RunningAttempt& attempt,
                     Fingerprint fingerprint,
                     base::TimePoint now,
                     Actions& actions) {
  if (dispatcher.crashes.size() >= kMaxCrashRecords &&
      !dispatcher.crashes.contains(fingerprint))
    return;
  const auto [place, is_new] = dispatcher.crashes.try_emplace(fingerprint);
  CrashRecord& record = place->second;
  if (is_new)
    record.has_one_query = fingerprint == attempt.fingerprints.family &&
                           fingerprint != attempt.fingerprints.content;
  const bool was_admitted =
      IsRefused(record) && attempt.granted_at >= record.admitted_at;
  BrokenRun run{attempt.upstream, attempt.fingerprints.content,
                attempt.granted_at, now};
  if (was_admitted) {
    // The request was admitted again and shows the same symptom.
    run.verdict = RunVerdict::kCrash;
    AddBrokenRun(record, run);
    CountCrash(record, now);
    MarkUnshared(dispatcher, fingerprint);
    actions.push_back(CrashCounted{upstream.entry.service, attempt.upstream,
                                   fingerprint, record.crashes, "broken again",
                                   base::Duration(0)});
    return;
  }
  AddBrokenRun(record, run);
  MarkUnshared(dispatcher, fingerprint);
  SuspectCrash(dispatcher, upstream.entry, fingerprint, now);
}

void RecordBrokenConnection(Dispatcher& dispatcher,
                            const UpstreamState& upstream,
                            const RunningAttempt& attempt,
                            base::TimePoint now,
                            Actions& actions) {
  // Upstreams that drain end by plan.
  if (upstream.entry.phase != fleet::UpstreamPhase::kReady)
    return;
  for (const Fingerprint fingerprint : Distinct(attempt.fingerprints))
    RecordBrokenRun(dispatcher, upstream, attempt, fingerprint, now, actions);
}

void ClearServedRequest(Dispatcher& dispatcher,
                        const RunningAttempt& attempt,
                        base::TimePoint now,
                        Actions& actions) {
  for (const Fingerprint fingerprint : Distinct(attempt.fingerprints)) {
    if (IsSuspicious(dispatcher, fingerprint))
      actions.push_back(CrashSuspicionDropped{
          attempt.upstream, fingerprint,
          FindCrashRecord(dispatcher, fingerprint)->crashes, "served"});
    ClearCrashRecord(dispatcher, fingerprint, now);
  }
}

}  // namespace

bool IsKnownToCrash(Dispatcher& dispatcher,
                    const RequestFingerprints& fingerprints,
                    base::TimePoint now) {
  bool is_known = false;
  for (const Fingerprint fingerprint : Distinct(fingerprints)) {
    CrashRecord* record = FindCrashRecord(dispatcher, fingerprint);
    if (!record)
      continue;
    if (!IsRefused(*record))
      continue;
    record->last_seen_at = now;
    is_known |= record->refused_until > now;
  }
  return is_known;
}

bool IsRefusedForCrashes(Dispatcher& dispatcher,
                         const SlotRequest& slot_request,
                         base::TimePoint now) {
  const std::set<Fingerprint> fingerprints =
      Distinct(slot_request.fingerprints);
  const bool is_held = std::any_of(
      fingerprints.begin(), fingerprints.end(),
      [&dispatcher, now](const Fingerprint fingerprint) {
        const CrashRecord* record = FindCrashRecord(dispatcher, fingerprint);
        return record && IsHeld(*record, now);
      });
  if (is_held || IsKnownToCrash(dispatcher, slot_request.fingerprints, now))
    return true;
  for (const Fingerprint fingerprint : fingerprints) {
    CrashRecord* record = FindCrashRecord(dispatcher, fingerprint);
    if (!record || !IsRefused(*record))
      continue;
    record->refused_until = now + kAdmissionInterval;
    record->admitted_at = now;
    MarkUnshared(dispatcher, fingerprint);
  }
  return false;
}

void UpdateCrashRecords(Dispatcher& dispatcher,
                        const UpstreamState& upstream,
                        const RunningAttempt& attempt,
                        Outcome outcome,
                        base::TimePoint now,
                        Actions& actions) {
  switch (outcome) {
    case Outcome::kServed:
      ClearServedRequest(dispatcher, attempt, now, actions);
      [[fallthrough]];
    case Outcome::kFailed:
    case Outcome::kShed:
      ClearSuspicionOf(dispatcher, attempt.upstream, attempt.granted_at,
                       actions);
      break;
    case Outcome::kConnectionBroken:
      RecordBrokenConnection(dispatcher, upstream, attempt, now, actions);
      StartDueCrashProbeOf(dispatcher, attempt.upstream, now, actions);
      break;
    case Outcome::kUnreachable:
    case Outcome::kConnectionRefused:
      ConfirmCrashOf(dispatcher, attempt.upstream, "no connection", now,
                     actions);
      break;
    case Outcome::kMisdirected:
      ConfirmCrashOf(dispatcher, attempt.upstream, "another instance", now,
                     actions);
      break;
    case Outcome::kUnused:
    case Outcome::kInvalidResponse:
    case Outcome::kStalled:
    case Outcome::kCancelled:
    case Outcome::kStillRunning:
      break;
  }
}

void ExpireCrashRecords(Dispatcher& dispatcher, base::TimePoint now) {
  if (now - dispatcher.crashes_expired_at < kExpiryInterval)
    return;
  dispatcher.crashes_expired_at = now;
  ExpireSuspicions(dispatcher, now);
  std::erase_if(dispatcher.crashes, [now](const auto& item) {
    const base::Duration lifetime =
        IsRefused(item.second) ? kRefusedRecordLifetime : kRecordLifetime;
    return now - item.second.last_seen_at > lifetime;
  });
}

}  // namespace poplarfork::dispatch
