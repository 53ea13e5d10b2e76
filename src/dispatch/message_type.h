#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids_type.h"
#include "base/time_type.h"

namespace poplarfork::dispatch {

// Number of one attempt of one request, unique within the daemon that accepted
// the request from its caller.
using AttemptId = base::NumberId<struct AttemptIdTag>;

// Hash of what a request has in common with its repetitions. It identifies a
// request that crashes upstreams when it is sent again.
using Fingerprint = base::NumberId<struct FingerprintTag>;

// The hashes by which one request is recognized; zero where there is none.
struct RequestFingerprints {
  // Of the caller's IP address, the method, the path, the query and the body.
  Fingerprint call;
  // Of the same without the caller, who may come from another address.
  Fingerprint content;
  // Of the content without the query.
  Fingerprint family;
};

// Class of requests that the dispatcher treats alike. Each class has its own
// mean duration.
struct WorkClass {
  base::ServiceId service;
  bool repeatable = false;
  // 0 is the most urgent.
  std::uint32_t priority = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const WorkClass&, const WorkClass&) = default;
};

// A daemon requests a slot of an upstream from the dispatcher of a service or
// shard. On the wire this is FleetAsk.
struct SlotRequest {
  AttemptId attempt_id;
  // Shard of the service's upstreams from which the slot is requested, and
  // number of shards.
  std::uint32_t shard_index = 0;
  std::uint32_t shard_count = 1;
  WorkClass work_class;
  // Client account whose rate limit the request counts towards; empty if there
  // is none.
  base::AccountId account;
  // Priority in the queue, which is that of the account or else that of the
  // route; 0 is the most urgent.
  std::uint32_t priority = 0;
  // Time that is left until the response misses the latency objective, and
  // until the caller stops waiting.
  base::Duration until_late{};
  base::Duration until_deadline{};
  // An earlier attempt may have reached an upstream, so this one is taken from
  // the retry budget.
  bool is_retry = false;
  // The earlier attempt still runs, and the first response that arrives is
  // delivered.
  bool is_hedge = false;
  // The request has been granted an upstream before that could not be used, so
  // it has already waited.
  bool was_granted = false;
  RequestFingerprints fingerprints;
  base::DataCentreId data_centre;
  // Upstreams that the requesting daemon cannot reach or has already tried.
  std::vector<base::UpstreamId> avoid;
};

// The dispatcher permits the daemon to send the request to one upstream.
struct Grant {
  AttemptId attempt_id;
  base::UpstreamId upstream;
  std::string address;
  // If there is no response after this time, a repeatable request should be
  // retried at another upstream.
  base::Duration retry_after{};
  // If there is no response after this time, another upstream may be asked at
  // the same time; zero if not.
  base::Duration hedge_after{};
  // Time that the request spent in the dispatcher's queue.
  base::Duration waited{};
};

// The dispatcher informs the daemon that the request is queued until a slot is
// free. On the wire this is FleetWaiting.
struct QueuedNotice {
  AttemptId attempt_id;
};

enum class RefusalReason {
  // Too many requests are queued; this one could not be completed before it is
  // late.
  kOverload,
  // The retry budget is exhausted.
  kRetryBudget,
  // The service has no upstream that can be used.
  kNoUpstream,
  // Requests with this fingerprint crash upstreams.
  kCrashesUpstreams,
  // The dispatcher has not received a list of upstreams yet.
  kNotReady,
  // The request was queued and can no longer be completed before its deadline.
  kExpired,
  // All upstreams want no requests of the daemon for some time.
  kUpstreamsPaused,
  // The request exceeds the rate limit of its client account.
  kOverAllowance,
  // The share of the requests that may be hedged is used up.
  kHedgeBudget,
};

// The dispatcher refuses a slot request. No attempt has been sent for this slot
// request.
struct Refusal {
  AttemptId attempt_id;
  RefusalReason reason = RefusalReason::kOverload;
  // Time after which the dispatcher expects a free slot.
  base::Duration retry_after{};
};

// How an attempt ended, as far as it says something about the upstream.
enum class Outcome {
  // The grant was not used. This says nothing about the upstream.
  kUnused,
  // No connection could be established. Nothing was sent.
  kUnreachable,
  // The connection was refused. Nothing was sent.
  kConnectionRefused,
  // The upstream sent a complete response which, whatever its status, shows
  // that the upstream is healthy.
  kServed,
  // The upstream ran the request and reported a failure.
  kFailed,
  // The upstream did not run the request because it is full or shutting down.
  kShed,
  // Another instance now has the upstream's address.
  kMisdirected,
  // The connection broke after the request had been sent.
  kConnectionBroken,
  // The response was malformed, incomplete or that of another request.
  kInvalidResponse,
  // There was no response within the stall time or before the deadline.
  kStalled,
  // The caller disconnected, or another attempt has completed the request,
  // before the outcome of the attempt was known.
  kCancelled,
  // The attempt has not ended. The daemon is alive and still waits for the
  // response after the time at which a repeatable request is retried.
  kStillRunning,
};

// Result of a request to the health path of an upstream.
enum class ProbeResult {
  kHealthy,
  // There was no response, or none that states that the upstream is healthy.
  kUnhealthy,
  // The upstream's host refused the connection.
  kRefused,
  // Another instance responded at the upstream's address.
  kOtherInstance,
};

// What an upstream has said in a response about further requests.
struct UpstreamNotice {
  // It is leaving and wants none at all.
  bool is_leaving = false;
  // It wants none of the daemon to which it responded for this long.
  base::Duration pause{};
  // Requests per second that it takes from all daemons together; empty if it
  // states no limit.
  std::optional<double> rate_limit = std::nullopt;
};

// Load that an upstream reports in its responses.
struct ReportedLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

// The requesting daemon reports how a granted attempt ended. One report is sent
// for every grant, and one before it with kStillRunning if the response takes
// long. On the wire this is FleetReport.
struct AttemptReport {
  AttemptId attempt_id;
  base::UpstreamId upstream;
  Outcome outcome = Outcome::kUnused;
  UpstreamNotice notice;
  // Time from the start of sending the request until the response was complete.
  base::Duration duration{};
  bool has_reported_load = false;
  ReportedLoad reported_load;
};

// The requesting daemon withdraws its slot request, and the request leaves the
// queue. The caller has disconnected, another attempt has completed the
// request, its deadline has passed, or the dispatcher has not replied.
struct Withdrawal {
  AttemptId attempt_id;
};

}  // namespace poplarfork::dispatch
