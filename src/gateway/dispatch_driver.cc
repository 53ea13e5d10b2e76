#include "gateway/dispatch_driver.h"

#include <memory>
#include <utility>

#include "clock/now_func.h"
#include "dispatch/dispatcher_func.h"
#include "dispatch/handover_func.h"
#include "dispatch/leaving_func.h"
#include "dispatch/pause_func.h"
#include "dispatch/rate_limit_func.h"
#include "fleet/shard_func.h"
#include "fleet/view_func.h"
#include "gateway/allowance_driver.h"
#include "gateway/crash_sharing_driver.h"
#include "gateway/log_func.h"
#include "gateway/peer_driver.h"
#include "gateway/response_func.h"
#include "metrics/registry_func.h"
#include "platform/request_func.h"
#include "upstream/whole_call.h"

namespace poplarfork::gateway {

namespace {

// Timeout of a health probe. A healthy upstream responds in far less time; one
// that takes longer is too slow to serve requests.
constexpr base::Duration kProbeTimeout = std::chrono::milliseconds(600);
constexpr std::size_t kMaxProbeResponseBytes = 64 * 1024;

// Interval at which a dispatcher sends digests. A request takes about as long,
// so a digest misses the outcomes of few requests.
constexpr base::Duration kDigestInterval = std::chrono::milliseconds(500);

void ExecuteActions(Gateway& gateway, const dispatch::Actions& actions);

// Arms the timer of the dispatcher if the dispatcher has work that depends on
// time and the timer is not armed.
void ArmDispatchTimer(Gateway& gateway) {
  if (gateway.dispatch_timer_armed ||
      !dispatch::NeedsTick(gateway.dispatcher, clock::Now()))
    return;
  gateway.dispatch_timer_armed = true;
  gateway.dispatch_timer.expires_after(dispatch::kTickInterval);
  gateway.dispatch_timer.async_wait(
      [&gateway](const boost::system::error_code& error) {
        if (error)
          return;
        gateway.dispatch_timer_armed = false;
        if (clock::Now() - gateway.digests_sent_at >= kDigestInterval)
          SendDigests(gateway);
        ExecuteActions(gateway, dispatch::OnTick(gateway.dispatcher,
                                                 clock::Now(), gateway.rng));
      });
}

// The overloads of ExecuteAction() carry out one action of the dispatcher each.
void ExecuteAction(Gateway& gateway, const dispatch::SendGrant& action) {
  metrics::IncrementCounter(gateway.metrics, "dispatch_grants_total");
  metrics::Observe(gateway.metrics, "dispatch_wait", action.grant.waited);
  SendToDaemon(gateway, action.to, action.grant);
}

void ExecuteAction(Gateway& gateway, const dispatch::SendQueuedNotice& action) {
  SendToDaemon(gateway, action.to, action.notice);
}

void ExecuteAction(Gateway& gateway, const dispatch::SendRefusal& action) {
  metrics::IncrementCounter(
      gateway.metrics, "dispatch_refusals_total{reason=\"" +
                           std::string(RefusalName(action.refusal.reason)) +
                           "\"}");
  SendToDaemon(gateway, action.to, action.refusal);
}

double ViewAgeMilliseconds(const Gateway& gateway) {
  return ToMilliseconds(clock::Now() - gateway.freshness.confirmed_at);
}

dispatch::ProbeResult ClassifyProbe(
    const dispatch::StartProbe& probe,
    const upstream::BufferedResponse& response) {
  if (response.IsComplete() && response.header.result_int() == 200 &&
      platform::IsFromInstance(response.header, probe.upstream))
    return dispatch::ProbeResult::kHealthy;
  if (response.IsComplete() &&
      platform::IsFromOtherInstance(response.header, probe.upstream))
    return dispatch::ProbeResult::kOtherInstance;
  return response.end.error == boost::asio::error::connection_refused
             ? dispatch::ProbeResult::kRefused
             : dispatch::ProbeResult::kUnhealthy;
}

void LearnLeaving(Gateway& gateway,
                  const base::UpstreamId& upstream,
                  const std::string& request_id) {
  const auto known = gateway.view.upstreams.find(upstream);
  const base::Incarnation incarnation = known != gateway.view.upstreams.end()
                                            ? known->second.entry.incarnation
                                            : base::Incarnation{};
  if (!dispatch::MarkLeaving(gateway.dispatcher, upstream, incarnation,
                             clock::Now()))
    return;
  Log(gateway, "upstream_leaving",
      {{"upstream", upstream.value},
       {"request", request_id},
       {"source", request_id.empty() ? "probe" : "response"},
       {"view_revision", gateway.view.as_of.value},
       {"view_age_ms", ViewAgeMilliseconds(gateway)}});
  metrics::IncrementCounter(gateway.metrics, "upstreams_leaving_total");
}

void LearnPause(Gateway& gateway,
                const base::UpstreamId& upstream,
                base::Duration pause,
                const std::string& request_id) {
  const base::TimePoint now = clock::Now();
  const bool is_new = dispatch::PauseLeft(gateway.upstream_pauses, upstream,
                                          now) == base::Duration(0);
  dispatch::PauseUpstream(gateway.upstream_pauses, upstream, pause, now);
  if (!is_new)
    return;
  Log(gateway, "upstream_paused",
      {{"upstream", upstream.value},
       {"request", request_id},
       {"pause_ms", ToMilliseconds(pause)}});
  metrics::IncrementCounter(gateway.metrics, "upstreams_paused_total");
}

void LearnRateLimit(Gateway& gateway,
                    const base::UpstreamId& upstream,
                    double per_second,
                    const std::string& request_id) {
  if (!dispatch::LearnStatedLimit(gateway.dispatcher, upstream, per_second,
                                  clock::Now()))
    return;
  Log(gateway, "upstream_limited",
      {{"upstream", upstream.value},
       {"request", request_id},
       {"per_second", per_second}});
  metrics::IncrementCounter(gateway.metrics, "upstreams_limited_total");
}

// Logs the result of a health probe and passes it to the dispatcher.
void OnProbeResponse(Gateway& gateway,
                     const dispatch::StartProbe& probe,
                     const upstream::BufferedResponse& response) {
  const dispatch::ProbeResult result = ClassifyProbe(probe, response);
  if (response.IsComplete() &&
      platform::IsFromInstance(response.header, probe.upstream))
    LearnNotice(gateway, probe.upstream,
                platform::ParseUpstreamNotice(response.header), "");
  Log(gateway, "probed",
      {{"service", probe.service.value},
       {"upstream", probe.upstream.value},
       {"purpose",
        probe.purpose == dispatch::ProbePurpose::kCrash ? "crash" : "recovery"},
       {"healthy", result == dispatch::ProbeResult::kHealthy},
       {"status", response.IsComplete() ? response.header.result_int() : 0},
       {"error", response.end.error.message()}});
  ExecuteActions(gateway,
                 dispatch::OnProbeResult(gateway.dispatcher, probe.service,
                                         probe.upstream, result, clock::Now()));
}

void ExecuteAction(Gateway& gateway, const dispatch::StartProbe& action) {
  // A probe is a request, too.
  if (KnownNotice(gateway, action.upstream).pause > base::Duration(0)) {
    ExecuteActions(gateway,
                   dispatch::OnProbeResult(
                       gateway.dispatcher, action.service, action.upstream,
                       dispatch::ProbeResult::kUnhealthy, clock::Now()));
    return;
  }
  std::string path = "/";
  if (gateway.configuration) {
    const auto found = gateway.configuration->services.find(action.service);
    if (found != gateway.configuration->services.end())
      path = found->second.health_path;
  }
  upstream::CallOptions options;
  options.address = action.address;
  options.reuse = upstream::ConnectionReuse::kForbidden;
  options.timeout = kProbeTimeout;
  options.max_body_bytes = kMaxProbeResponseBytes;
  metrics::IncrementCounter(gateway.metrics, "probes_total");
  upstream::StartCall(
      gateway.loop, gateway.upstream_pool, options,
      std::make_shared<edge::HttpRequest>(platform::MakeHealthRequest(path)),
      [&gateway, action](const upstream::BufferedResponse& response) {
        OnProbeResponse(gateway, action, response);
      });
}

void ExecuteAction(Gateway& gateway,
                   const dispatch::HealthStatusChanged& action) {
  Log(gateway, "upstream_standing",
      {{"service", action.service.value},
       {"upstream", action.upstream.value},
       {"standing", action.health_status},
       {"reason", action.reason},
       {"failure_share", action.failure_share},
       {"slowness", action.slowness},
       {"stalled", action.stalled_count},
       {"view_revision", gateway.view.as_of.value}});
  metrics::IncrementCounter(gateway.metrics,
                            std::string("upstream_standing_total{to=\"") +
                                action.health_status + "\"}");
}

void ExecuteAction(Gateway& gateway, const dispatch::CrashCounted& action) {
  Log(gateway, "crash_counted",
      {{"service", action.service.value},
       {"upstream", action.upstream.value},
       {"fingerprint", action.fingerprint.value},
       {"crashes", action.crashes},
       {"evidence", action.evidence},
       {"since_break_ms", ToMilliseconds(action.since_break)}});
  metrics::IncrementCounter(gateway.metrics, "crashes_counted_total");
}

void ExecuteAction(Gateway& gateway,
                   const dispatch::CrashSuspicionDropped& action) {
  Log(gateway, "crash_suspicion_dropped",
      {{"upstream", action.upstream.value},
       {"fingerprint", action.fingerprint.value},
       {"crashes", action.crashes},
       {"reason", action.reason}});
}

void ExecuteAction(Gateway& gateway, const dispatch::LeavingLearned& action) {
  Log(gateway, "upstream_leaving",
      {{"upstream", action.upstream.value},
       {"request", ""},
       {"source", action.told_by.value},
       {"view_revision", gateway.view.as_of.value},
       {"view_age_ms", ViewAgeMilliseconds(gateway)}});
}

void ExecuteActions(Gateway& gateway, const dispatch::Actions& actions) {
  for (const dispatch::Action& action : actions)
    std::visit([&gateway](const auto& body) { ExecuteAction(gateway, body); },
               action);
  ShareCrashRecords(gateway);
  ArmAllowanceTimer(gateway);
  ArmDispatchTimer(gateway);
}

const char* PhaseName(const fleet::UpstreamRecord& record) {
  if (record.removed)
    return "removed";
  return record.entry.phase == fleet::UpstreamPhase::kReady ? "ready"
                                                            : "draining";
}

}  // namespace

void OnSlotRequestMessage(Gateway& gateway,
                          const base::DaemonId& from,
                          const dispatch::SlotRequest& slot_request) {
  ExecuteActions(gateway,
                 dispatch::OnSlotRequest(gateway.dispatcher, from, slot_request,
                                         clock::Now(), gateway.rng));
}

void OnAttemptReportMessage(Gateway& gateway,
                            const base::DaemonId& from,
                            const dispatch::AttemptReport& attempt_report) {
  ExecuteActions(gateway, dispatch::OnAttemptReport(gateway.dispatcher, from,
                                                    attempt_report,
                                                    clock::Now(), gateway.rng));
}

void OnDigestMessage(Gateway& gateway,
                     const base::DaemonId& from,
                     const dispatch::ShardDigest& digest) {
  const bool stored =
      dispatch::OnDigest(gateway.dispatcher, from, digest, clock::Now());
  metrics::IncrementCounter(
      gateway.metrics, stored ? "dispatch_digests_total{result=\"stored\"}"
                              : "dispatch_digests_total{result=\"ignored\"}");
}

void SendDigests(Gateway& gateway) {
  const base::TimePoint now = clock::Now();
  gateway.digests_sent_at = now;
  for (const auto& [shard, shard_state] : gateway.dispatcher.shards) {
    const std::optional<dispatch::ShardDigest> digest =
        dispatch::MakeDigest(gateway.dispatcher, shard, now);
    if (!digest)
      continue;
    for (const base::DaemonId& member : fleet::RankMembers(
             gateway.view, fleet::DispatcherKey(shard), 2, now)) {
      if (member == gateway.view.self)
        continue;
      SendToDaemon(gateway, member, *digest);
      break;
    }
  }
}

void OnWithdrawalMessage(Gateway& gateway,
                         const base::DaemonId& from,
                         const dispatch::Withdrawal& withdrawal) {
  dispatch::OnWithdrawal(gateway.dispatcher, from, withdrawal);
}

void LearnNotice(Gateway& gateway,
                 const base::UpstreamId& upstream,
                 const dispatch::UpstreamNotice& notice,
                 const std::string& request_id) {
  if (notice.is_leaving)
    LearnLeaving(gateway, upstream, request_id);
  if (notice.pause > base::Duration(0))
    LearnPause(gateway, upstream, notice.pause, request_id);
  if (notice.rate_limit)
    LearnRateLimit(gateway, upstream, *notice.rate_limit, request_id);
}

dispatch::UpstreamNotice KnownNotice(const Gateway& gateway,
                                     const base::UpstreamId& upstream) {
  return {dispatch::IsLeaving(gateway.dispatcher, upstream),
          dispatch::PauseLeft(gateway.upstream_pauses, upstream, clock::Now()),
          std::nullopt};
}

bool ApplyUpstreamRecord(Gateway& gateway,
                         const fleet::UpstreamRecord& record,
                         const char* source) {
  const auto previous = gateway.view.upstreams.find(record.entry.id);
  const fleet::UpstreamEntry previous_entry =
      previous != gateway.view.upstreams.end() ? previous->second.entry
                                               : fleet::UpstreamEntry{};
  if (!fleet::MergeUpstream(gateway.view, record))
    return false;
  // `record` may be a removal without the entry. The merged record in the view
  // then still has the entry that was known before.
  const fleet::UpstreamRecord& merged =
      gateway.view.upstreams.at(record.entry.id);
  Log(gateway, "upstream_known",
      {{"upstream", merged.entry.id.value},
       {"service", merged.entry.service.value},
       {"address", merged.entry.address},
       {"phase", PhaseName(merged)},
       {"incarnation", merged.entry.incarnation.value},
       {"revision", merged.change_revision.value},
       {"source", source}});
  if (merged.entry.incarnation != previous_entry.incarnation)
    gateway.upstream_pauses.erase(merged.entry.id);
  gateway.shard_slots.erase(merged.entry.service);
  gateway.shard_slots.erase(previous_entry.service);
  if (!merged.entry.service.value.empty())
    ExecuteActions(gateway,
                   dispatch::OnUpstreamRecord(gateway.dispatcher, merged,
                                              clock::Now(), gateway.rng));
  return true;
}

}  // namespace poplarfork::gateway
