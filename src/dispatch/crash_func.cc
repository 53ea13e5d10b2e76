#include "dispatch/crash_func.h"

namespace poplarfork::dispatch {

namespace {

// Requests with a fingerprint that has caused this many confirmed crashes are
// refused.
constexpr std::uint32_t kMaxCrashes = 3;
// A crash record is dropped when its last crash is older than this.
constexpr base::Duration kCrashMemory = std::chrono::seconds(120);
// A broken connection counts as a crash of the upstream if the upstream is
// found unreachable within this time.
constexpr base::Duration kCrashConfirmation = std::chrono::milliseconds(1500);

void ConfirmCrashes(Dispatcher& dispatcher,
                    UpstreamState& upstream,
                    base::TimePoint now) {
  for (const UpstreamState::Break& broken : upstream.breaks) {
    if (now - broken.at > kCrashConfirmation)
      continue;
    CrashRecord& record = dispatcher.crashes[broken.fingerprint];
    ++record.crashes;
    record.last = now;
  }
  upstream.breaks.clear();
}

}  // namespace

bool CrashesUpstreams(const Dispatcher& dispatcher, const Ask& ask) {
  const auto found = dispatcher.crashes.find(ask.fingerprint);
  return found != dispatcher.crashes.end() &&
         found->second.crashes >= kMaxCrashes;
}

void NoteCrash(Dispatcher& dispatcher,
               UpstreamState& upstream,
               const Running& running,
               Outcome outcome,
               base::TimePoint now) {
  if (outcome == Outcome::kBroken)
    upstream.breaks.push_back({running.fingerprint, now});
  if (outcome == Outcome::kUnreachable || outcome == Outcome::kRefused)
    ConfirmCrashes(dispatcher, upstream, now);
  std::erase_if(upstream.breaks, [now](const UpstreamState::Break& broken) {
    return now - broken.at > kCrashConfirmation;
  });
}

void ForgetCrashes(Dispatcher& dispatcher, base::TimePoint now) {
  std::erase_if(dispatcher.crashes, [now](const auto& item) {
    return now - item.second.last > kCrashMemory;
  });
}

}  // namespace poplarfork::dispatch
