#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids_type.h"
#include "base/time_type.h"

namespace poplarfork::dispatch {

// Number of one attempt of one request, unique within the daemon that took the
// request from its caller.
using AttemptId = base::NumberId<struct AttemptIdTag>;

// Hash of a request's route, path, caller and body. A request that crashes
// upstreams is recognized by it when it comes again.
using Fingerprint = base::NumberId<struct FingerprintTag>;

// What kind of work a request is, as far as dispatching needs to know.
struct WorkClass {
  base::ServiceId service;
  bool repeatable = false;
  // 0 is the most urgent.
  std::uint32_t priority = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const WorkClass&, const WorkClass&) = default;
};

// A daemon asks the dispatcher of a service for an upstream.
struct Ask {
  AttemptId attempt;
  // Part of the service's upstreams that the dispatcher is asked for.
  std::uint32_t shard = 0;
  std::uint32_t shards = 1;
  WorkClass work;
  // Time left until the answer is late, and until nobody waits for it.
  base::Duration until_late{};
  base::Duration until_deadline{};
  // An earlier attempt may have reached an upstream; draws on the budget.
  bool is_retry = false;
  // The request had been given an upstream before that could not be used; it
  // has waited already.
  bool was_granted = false;
  Fingerprint fingerprint;
  base::DataCentreId data_centre;
  // Upstreams that the asking daemon cannot reach or has already tried.
  std::vector<base::UpstreamId> avoid;
};

// The dispatcher lets the daemon send the request to one upstream.
struct Grant {
  AttemptId attempt;
  base::UpstreamId upstream;
  std::string address;
  // After this time without an answer a repeatable request is better sent
  // elsewhere.
  base::Duration retry_after{};
  // Time that the request waited at the dispatcher.
  base::Duration waited{};
};

// The request waits at the dispatcher for an upstream.
struct Waiting {
  AttemptId attempt;
};

enum class RefusalReason {
  // Cannot be served before it is late: too much work waits.
  kOverload,
  // The budget of repeated sends is spent.
  kRetryBudget,
  // The service has no upstream that can be used.
  kNoUpstream,
  // Requests with this fingerprint crash upstreams.
  kCrashesUpstreams,
  // The dispatcher has no list of upstreams yet.
  kNotReady,
  // It waited, and its time ran out.
  kExpired,
};

// The dispatcher refuses; the request has not been sent on behalf of this Ask.
struct Refusal {
  AttemptId attempt;
  RefusalReason reason = RefusalReason::kOverload;
  // When there will be room, as far as the dispatcher can tell.
  base::Duration retry_after{};
};

// How an attempt ended, as evidence about the upstream.
enum class Outcome {
  // The grant was not used; says nothing about the upstream.
  kUnused,
  // No connection could be made; nothing was sent.
  kUnreachable,
  // The connection was refused; nothing was sent.
  kRefused,
  // A whole answer, whatever its status, that shows a sound upstream.
  kServed,
  // The upstream ran the request and failed it.
  kFailed,
  // The upstream did not run the request because it is full or leaving.
  kShed,
  // Another instance has the address.
  kMisdirected,
  // The connection broke after the request had been sent.
  kBroken,
  // The answer was malformed, incomplete or another request's.
  kBadAnswer,
  // No answer within the stall time or the deadline.
  kStalled,
  // The caller left before the attempt could be judged.
  kCancelled,
};

// Load that an upstream states in its answers.
struct StatedLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

// The asking daemon reports how a granted attempt ended. Sent for every grant.
struct Report {
  AttemptId attempt;
  base::UpstreamId upstream;
  Outcome outcome = Outcome::kUnused;
  // From sending the request to the whole answer.
  base::Duration duration{};
  bool has_load = false;
  StatedLoad load;
};

// The caller left or the request was answered otherwise: a waiting request
// leaves the queue.
struct Withdrawal {
  AttemptId attempt;
};

}  // namespace poplarfork::dispatch
