#include "dispatch/crash_func.h"

namespace poplarfork::dispatch {

namespace {

// Requests with a fingerprint that has caused this many confirmed crashes are
// refused.
constexpr std::uint32_t kMaxConfirmedCrashes = 3;
// A crash record is dropped when its last crash is older than this.
constexpr base::Duration kCrashRecordLifetime = std::chrono::seconds(120);
// A broken connection counts as a crash of the upstream if the upstream is
// found unreachable within this time.
constexpr base::Duration kCrashConfirmationTime =
    std::chrono::milliseconds(1500);

void ConfirmCrashes(Dispatcher& dispatcher,
                    UpstreamState& upstream,
                    base::TimePoint now) {
  for (const UpstreamState::BrokenConnection& broken :
       upstream.broken_connections) {
    if (now - broken.broke_at > kCrashConfirmationTime)
      continue;
    CrashRecord& record = dispatcher.crashes[broken.fingerprint];
    ++record.crashes;
    record.last_crash_at = now;
  }
  upstream.broken_connections.clear();
}

}  // namespace

bool HasCrashedUpstreams(const Dispatcher& dispatcher,
                         const SlotRequest& slot_request) {
  const auto found = dispatcher.crashes.find(slot_request.fingerprint);
  return found != dispatcher.crashes.end() &&
         found->second.crashes >= kMaxConfirmedCrashes;
}

void UpdateCrashRecords(Dispatcher& dispatcher,
                        UpstreamState& upstream,
                        const RunningAttempt& attempt,
                        Outcome outcome,
                        base::TimePoint now) {
  if (outcome == Outcome::kConnectionBroken)
    upstream.broken_connections.push_back({attempt.fingerprint, now});
  if (outcome == Outcome::kUnreachable ||
      outcome == Outcome::kConnectionRefused)
    ConfirmCrashes(dispatcher, upstream, now);
  std::erase_if(upstream.broken_connections,
                [now](const UpstreamState::BrokenConnection& broken) {
                  return now - broken.broke_at > kCrashConfirmationTime;
                });
}

void ExpireCrashRecords(Dispatcher& dispatcher, base::TimePoint now) {
  std::erase_if(dispatcher.crashes, [now](const auto& item) {
    return now - item.second.last_crash_at > kCrashRecordLifetime;
  });
}

}  // namespace poplarfork::dispatch
