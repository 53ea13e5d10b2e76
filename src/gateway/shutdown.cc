#include "gateway/shutdown.h"

#include "clock/now_func.h"
#include "gateway/dispatch_driver.h"
#include "gateway/log_func.h"
#include "gateway/peer_driver.h"
#include "gateway/registration.h"
#include "gateway/request_driver.h"

namespace poplarfork::gateway {

namespace {

// Time before the end of the grace time at which the process stops, so that it
// has ended before it would be killed.
constexpr base::Duration kStopMargin = std::chrono::milliseconds(450);

// Minimum duration of a drain. Callers use addresses for up to three times
// their lifetime, and some learn late of the drain, so new requests may arrive
// until then.
constexpr base::Duration kMinDrainTime = std::chrono::milliseconds(4500);

// New requests, of callers that still use the address of this daemon, are
// accepted during the grace time divided by this number. The rest of the grace
// time is for finishing them.
constexpr int kAcceptTimeDivisor = 2;

// Time after the start of a drain during which requests are accepted although
// their callers may wait until after the end of the process. Most responses
// take a fraction of that time.
constexpr base::Duration kMaxAcceptTime = std::chrono::seconds(3);

// Time before the stop of the process at which the last requests are answered.
constexpr base::Duration kResponseTime = std::chrono::milliseconds(100);

// Interval at which a draining daemon checks whether it may stop.
constexpr base::Duration kDrainCheckInterval = std::chrono::milliseconds(100);

void StopLoop(Gateway& gateway) {
  Log(gateway, "stopped",
      {{"requests_cut", gateway.requests.size()},
       {"drained_ms",
        ToMilliseconds(clock::Now() - gateway.drain_started_at)}});
  gateway.loop.stop();
}

// Stops the loop if the minimum drain time is over and the daemon is idle, or
// if the grace time is about to end. Otherwise checks again later.
void StopWhenDrained(Gateway& gateway) {
  const base::Duration drain_time = clock::Now() - gateway.drain_started_at;
  const bool idle =
      gateway.requests.empty() && gateway.front_server->BusySessionCount() == 0;
  if (drain_time >= gateway.settings.grace_time - kStopMargin ||
      (drain_time >= kMinDrainTime && idle)) {
    StopLoop(gateway);
    return;
  }
  gateway.drain_timer.expires_after(kDrainCheckInterval);
  gateway.drain_timer.async_wait(
      [&gateway](const boost::system::error_code& error) {
        if (!error)
          StopWhenDrained(gateway);
      });
}

}  // namespace

bool CanFinishRequest(const Gateway& gateway, base::TimePoint deadline) {
  if (!gateway.draining)
    return true;
  const base::Duration drain_time = clock::Now() - gateway.drain_started_at;
  return drain_time < gateway.settings.grace_time / kAcceptTimeDivisor &&
         (drain_time < kMaxAcceptTime || deadline <= LatestResponseAt(gateway));
}

base::TimePoint LatestResponseAt(const Gateway& gateway) {
  return gateway.draining
             ? gateway.drain_started_at + gateway.settings.grace_time -
                   kStopMargin - kResponseTime
             : base::TimePoint::max();
}

void StartDrain(Gateway& gateway) {
  if (gateway.draining)
    return;
  gateway.draining = true;
  gateway.drain_started_at = clock::Now();
  Log(gateway, "draining", {{"requests", gateway.requests.size()}});
  const auto self = gateway.view.members.find(gateway.view.self);
  if (self != gateway.view.members.end())
    self->second.accepting = false;
  SendHellosToReaders(gateway);
  SendDigests(gateway);
  Unregister(gateway);
  gateway.front_server->CloseAfterResponses();
  LimitDeadlines(gateway, LatestResponseAt(gateway));
  StopWhenDrained(gateway);
}

}  // namespace poplarfork::gateway
