#include "daemon/tick_func.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "claim/claim_func.h"
#include "clock/now_func.h"
#include "daemon/claim_func.h"
#include "daemon/health_func.h"
#include "daemon/membership_func.h"
#include "daemon/release_driver_func.h"
#include "daemon/release_store_func.h"
#include "daemon/shutdown_func.h"
#include "daemon/vm_list_func.h"
#include "load/account_limits_func.h"
#include "logging/log_func.h"
#include "membership/membership_func.h"
#include "upstream/pool_func.h"

namespace poplarfork::daemon {

namespace {

// After a pause of the process longer than this, the daemon catches up with the
// release log. The time is longer than a release note takes to be in force
// everywhere, so after a longer pause the daemon may have missed one.
constexpr base::Duration kResyncPause = std::chrono::seconds(6);
// The number of ticks over which the loop delay is smoothed. Each tick has a
// weight of one tenth, so at ticks of 100 ms the smoothing covers about 1 s.
constexpr int kLoopDelaySmoothingTicks = 10;

void UpdateLoopDelay(Daemon& daemon, base::Duration lateness) {
  daemon.load.loop_delay +=
      (lateness - daemon.load.loop_delay) / kLoopDelaySmoothingTicks;
}

void OnPause(Daemon& daemon, base::Duration lateness) {
  auto fields = web::json::value::object();
  fields["lateness_us"] = web::json::value::number(lateness.count());
  logging::WriteLogLine("paused", std::move(fields));
  HandleReleaseEvent(daemon, release::Resumed{});
}

// Ends the claimed requests that are past their deadline and have no exchange.
// While a request waits for its claim, there is no exchange whose timer would
// end it.
void EndOverdueClaimWaits(Daemon& daemon, base::TimePoint now) {
  std::vector<claim::RequestToken> overdue;
  for (const auto& [token, request] : daemon.claimed_requests) {
    if (now >= request->deadline && !request->exchange)
      overdue.push_back(token);
  }
  for (const claim::RequestToken token : overdue)
    ExecuteClaimActions(daemon, claim::OnDeadline(daemon.claims, token, now));
}

void ArmTickTimer(Daemon& daemon);

void RunTick(Daemon& daemon) {
  const base::TimePoint now = clock::Now();
  const base::Duration lateness =
      std::max(now - daemon.next_tick_at, base::Duration(0));
  UpdateLoopDelay(daemon, lateness);
  if (lateness > kResyncPause)
    OnPause(daemon, lateness);
  TickHealth(daemon, lateness, now);
  membership::SetLoad(daemon.membership, LoadPercent(daemon), now);
  ExecuteMembershipActions(
      daemon, membership::Tick(daemon.membership, now, daemon.rng));
  FetchVmListIfDue(daemon, now);
  CheckStoreReachability(daemon, now);
  HandleReleaseEvent(daemon, release::Tick{});
  ExecuteClaimActions(daemon, claim::OnTick(daemon.claims, now));
  EndOverdueClaimWaits(daemon, now);
  load::SweepFullBuckets(daemon.load.accounts, now);
  upstream::CloseExpiredConnections(daemon.upstream_pool, now);
  daemon.edge_server->CloseExpiredSessions(now);
  daemon.admin_server->CloseExpiredSessions(now);
  TickShutdown(daemon, now);
  ArmTickTimer(daemon);
}

void ArmTickTimer(Daemon& daemon) {
  const base::Duration interval =
      std::chrono::milliseconds(daemon.settings.tick_ms);
  daemon.next_tick_at = clock::Now() + interval;
  daemon.tick_timer.expires_after(interval);
  daemon.tick_timer.async_wait(
      [&daemon](const boost::system::error_code& error) {
        if (!error)
          RunTick(daemon);
      });
}

}  // namespace

void StartTickTimer(Daemon& daemon) {
  ArmTickTimer(daemon);
}

}  // namespace poplarfork::daemon
