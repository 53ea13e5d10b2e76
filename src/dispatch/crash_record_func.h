#pragma once

#include <cstddef>
#include <cstdint>

#include "dispatch/crash_record_type.h"
#include "dispatch/dispatcher_type.h"

namespace poplarfork::dispatch {

// Requests with a fingerprint that has caused this many crashes are refused.
inline constexpr std::uint32_t kMaxCrashes = 3;

// A broken connection counts as a crash of the upstream if the upstream is
// found to have ended within this time. The store removes the entry of a silent
// upstream after three heartbeats.
inline constexpr base::Duration kCrashEvidenceTime =
    std::chrono::milliseconds(8000);

// Upper limit of the notices in one datagram.
inline constexpr std::size_t kMaxCrashNotices = 24;

// Returns the record of a fingerprint, or null if there is none.
CrashRecord* FindCrashRecord(Dispatcher& dispatcher, Fingerprint fingerprint);

// Tells whether requests with the fingerprint have broken so many connections
// that crashed upstreams are looked for.
bool IsSuspicious(const Dispatcher& dispatcher, Fingerprint fingerprint);

// Tells whether requests are refused for the crashes that were counted.
bool IsRefused(const CrashRecord& record);

// Tells whether requests are refused until it is known whether the connections
// that broke were crashes.
bool IsHeld(const CrashRecord& record, base::TimePoint now);

// Adds a run that has broken its connection.
void AddBrokenRun(CrashRecord& record, const BrokenRun& run);

// Counts the crashes again after a verdict has changed. Returns whether there
// are more; requests are then refused from the third one on, each time for
// longer.
bool UpdateCrashCount(CrashRecord& record, base::TimePoint now);

// Counts a crash that needs no further evidence.
void CountCrash(CrashRecord& record, base::TimePoint now);

// Forgets what is known for a fingerprint, because an upstream has served such
// a request.
void ClearCrashRecord(Dispatcher& dispatcher,
                      Fingerprint fingerprint,
                      base::TimePoint now);

// Notes that other daemons have to be told of a record, if it matters to them.
void MarkUnshared(Dispatcher& dispatcher, Fingerprint fingerprint);

// Returns the notices that have to be sent to all daemons, and notes that they
// were sent.
CrashNotices TakeUnsharedNotices(Dispatcher& dispatcher, base::TimePoint now);

// Returns notices of the records for which requests are refused, and of those
// that were cleared recently.
CrashNotices MakeCrashNotices(const Dispatcher& dispatcher,
                              base::TimePoint now);

// Applies a notice of another daemon. Returns whether requests are refused
// because of it that were not refused before.
bool OnCrashNotice(Dispatcher& dispatcher,
                   const CrashNotice& notice,
                   base::TimePoint now);

}  // namespace poplarfork::dispatch
