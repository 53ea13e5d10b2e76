#include "dispatch/crash_record_func.h"

#include <algorithm>

namespace poplarfork::dispatch {

namespace {

// Crashed upstreams are looked for once a fingerprint has broken this many
// connections. Connections break for many reasons, but seldom twice for the
// same request.
constexpr std::uint32_t kSuspiciousBreaks = 2;

// Time for which a fingerprint is refused after the third crash. It doubles
// with each further one until the fingerprint is refused for good.
constexpr base::Duration kFirstRefusalTime = std::chrono::seconds(60);
constexpr std::uint32_t kMaxRefusalDoublings = 2;

// Runs that are kept of each fingerprint; one more than the crashes after which
// it is refused for good.
constexpr std::size_t kMaxRuns = kMaxCrashes + kMaxRefusalDoublings + 2;

// Other daemons are told of a fingerprint once this many of its runs that
// followed each other may have been crashes.
constexpr std::uint32_t kMinSharedCrashes = 2;

// Upper limit of the records that other daemons may cause.
constexpr std::size_t kMaxRecordsFromOthers = 20000;

bool IsCounted(const BrokenRun& run, bool with_suspected, base::TimePoint now) {
  if (run.verdict == RunVerdict::kCrash)
    return true;
  return with_suspected && run.verdict == RunVerdict::kSuspected &&
         now - run.broke_at <= kCrashEvidenceTime;
}

// Counts runs that began after the counted one before them had ended. `count`
// runs ended at `last_end` already. Runs at one upstream that overlap ended
// with the same crash.
std::uint32_t CountRunsAfter(const CrashRecord& record,
                             std::uint32_t count,
                             base::TimePoint last_end,
                             bool with_suspected,
                             base::TimePoint now) {
  const BrokenRun* last = nullptr;
  for (const BrokenRun& run : record.runs) {
    if (!IsCounted(run, with_suspected, now) || run.granted_at < last_end)
      continue;
    if (last && last->upstream == run.upstream && run.granted_at <= last_end)
      continue;
    ++count;
    last = &run;
    last_end = run.broke_at;
  }
  return count;
}

std::uint32_t CountSuccessive(const CrashRecord& record,
                              bool with_suspected,
                              base::TimePoint now) {
  const ToldCrashes& told = record.told;
  const bool is_told_suspicion_recent =
      now - told.last_broke_at <= kCrashEvidenceTime;
  const std::uint32_t told_count = with_suspected && is_told_suspicion_recent
                                       ? std::max(told.crashes, told.suspected)
                                       : told.crashes;
  return std::max(
      CountRunsAfter(record, 0, base::TimePoint::min(), with_suspected, now),
      CountRunsAfter(record, told_count, told.last_broke_at, with_suspected,
                     now));
}

base::TimePoint LastBrokeAt(const CrashRecord& record) {
  return record.runs.empty()
             ? record.told.last_broke_at
             : std::max(record.told.last_broke_at, record.runs.back().broke_at);
}

void RefuseAfterCrash(CrashRecord& record, base::TimePoint now) {
  if (record.crashes < kMaxCrashes)
    return;
  const std::uint32_t doublings = record.crashes - kMaxCrashes;
  record.refused_until = doublings > kMaxRefusalDoublings
                             ? base::TimePoint::max()
                             : now + kFirstRefusalTime * (1 << doublings);
}

// Forgets all that led to refusals.
void ResetEvidence(CrashRecord& record) {
  record.runs.clear();
  record.breaks = 0;
  record.crashes = 0;
  record.told = {};
  record.refused_until = {};
  record.admitted_at = base::TimePoint::max();
}

CrashNotice MakeNotice(Fingerprint fingerprint,
                       const CrashRecord& record,
                       base::TimePoint now) {
  CrashNotice notice;
  notice.fingerprint = fingerprint;
  notice.crashes = record.crashes;
  notice.suspected = CountSuccessive(record, true, now);
  notice.since_last_break = now - LastBrokeAt(record);
  if (record.refused_until > now)
    notice.refused_for = record.refused_until - now;
  notice.is_cleared = record.cleared_at != base::TimePoint{};
  if (notice.is_cleared)
    notice.since_cleared = now - record.cleared_at;
  return notice;
}

}  // namespace

CrashRecord* FindCrashRecord(Dispatcher& dispatcher, Fingerprint fingerprint) {
  const auto found = dispatcher.crashes.find(fingerprint);
  return found == dispatcher.crashes.end() ? nullptr : &found->second;
}

bool IsSuspicious(const Dispatcher& dispatcher, Fingerprint fingerprint) {
  const auto found = dispatcher.crashes.find(fingerprint);
  return found != dispatcher.crashes.end() &&
         found->second.breaks >= kSuspiciousBreaks;
}

bool IsRefused(const CrashRecord& record) {
  return record.crashes >= kMaxCrashes && !record.has_one_query;
}

bool IsHeld(const CrashRecord& record, base::TimePoint now) {
  return !record.has_one_query && !IsRefused(record) &&
         CountSuccessive(record, true, now) >= kMaxCrashes;
}

void AddBrokenRun(CrashRecord& record, const BrokenRun& run) {
  ++record.breaks;
  record.last_seen_at = run.broke_at;
  record.has_one_query = record.has_one_query &&
                         (record.runs.empty() ||
                          record.runs.back().fingerprint == run.fingerprint);
  if (record.runs.size() >= kMaxRuns)
    record.runs.erase(record.runs.begin());
  record.runs.push_back(run);
}

bool UpdateCrashCount(CrashRecord& record, base::TimePoint now) {
  const std::uint32_t crashes = CountSuccessive(record, false, now);
  if (crashes <= record.crashes)
    return false;
  record.crashes = crashes;
  RefuseAfterCrash(record, now);
  return true;
}

void CountCrash(CrashRecord& record, base::TimePoint now) {
  ++record.crashes;
  RefuseAfterCrash(record, now);
}

void ClearCrashRecord(Dispatcher& dispatcher,
                      Fingerprint fingerprint,
                      base::TimePoint now) {
  const auto found = dispatcher.crashes.find(fingerprint);
  if (found == dispatcher.crashes.end())
    return;
  CrashRecord& record = found->second;
  if (!record.is_shared) {
    dispatcher.unshared_crashes.erase(fingerprint);
    dispatcher.crashes.erase(found);
    return;
  }
  ResetEvidence(record);
  record.cleared_at = now;
  record.last_seen_at = now;
  dispatcher.unshared_crashes.insert(fingerprint);
}

void MarkUnshared(Dispatcher& dispatcher, Fingerprint fingerprint) {
  dispatcher.unshared_crashes.insert(fingerprint);
}

CrashNotices TakeUnsharedNotices(Dispatcher& dispatcher, base::TimePoint now) {
  CrashNotices notices;
  for (const Fingerprint fingerprint : dispatcher.unshared_crashes) {
    const auto found = dispatcher.crashes.find(fingerprint);
    if (found == dispatcher.crashes.end())
      continue;
    CrashRecord& record = found->second;
    const bool matters =
        !record.has_one_query &&
        CountSuccessive(record, true, now) >= kMinSharedCrashes;
    if (!matters && !record.is_shared)
      continue;
    record.is_shared = true;
    notices.push_back(MakeNotice(fingerprint, record, now));
  }
  dispatcher.unshared_crashes.clear();
  return notices;
}

CrashNotices MakeCrashNotices(const Dispatcher& dispatcher,
                              base::TimePoint now) {
  CrashNotices notices;
  for (const auto& [fingerprint, record] : dispatcher.crashes) {
    const bool is_recently_cleared =
        record.cleared_at != base::TimePoint{} &&
        now - record.cleared_at <= kCrashEvidenceTime;
    if (record.is_shared &&
        (IsRefused(record) || IsHeld(record, now) || is_recently_cleared))
      notices.push_back(MakeNotice(fingerprint, record, now));
  }
  return notices;
}

bool OnCrashNotice(Dispatcher& dispatcher,
                   const CrashNotice& notice,
                   base::TimePoint now) {
  if (dispatcher.crashes.size() >= kMaxRecordsFromOthers &&
      !dispatcher.crashes.contains(notice.fingerprint))
    return false;
  CrashRecord& record = dispatcher.crashes[notice.fingerprint];
  const bool was_refused = IsRefused(record);
  record.is_shared = true;
  record.has_one_query = false;
  const base::TimePoint last_broke_at = now - notice.since_last_break;
  const base::TimePoint cleared_at =
      notice.is_cleared ? now - notice.since_cleared : base::TimePoint{};
  record.last_seen_at =
      std::max({record.last_seen_at, last_broke_at, cleared_at});
  if (cleared_at > record.cleared_at) {
    record.cleared_at = cleared_at;
    if (LastBrokeAt(record) <= cleared_at)
      ResetEvidence(record);
  }
  if (notice.suspected == 0 || last_broke_at <= record.cleared_at)
    return false;
  record.told.crashes = std::max(record.told.crashes, notice.crashes);
  record.told.suspected = std::max(record.told.suspected, notice.suspected);
  record.told.last_broke_at =
      std::max(record.told.last_broke_at, last_broke_at);
  record.crashes = std::max(record.crashes, notice.crashes);
  if (notice.refused_for > base::Duration(0))
    record.refused_until =
        std::max(record.refused_until, now + notice.refused_for);
  return IsRefused(record) && !was_refused;
}

}  // namespace poplarfork::dispatch
