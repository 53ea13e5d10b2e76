#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time_type.h"
#include "dispatch/message_type.h"
#include "fleet/shard_type.h"
#include "request/attempt_end_type.h"

namespace poplarfork::request {

// Number of a request, unique within one daemon.
using RequestNumber = base::NumberId<struct RequestNumberTag>;

enum class Phase {
  // A slot has been requested from the dispatcher, which has not replied yet.
  kRequestingSlot,
  // The dispatcher has replied that the request is queued.
  kQueued,
  // The request has been sent to one upstream, or to several at the same time.
  kRunning,
  // The request has been sent to upstreams that take long, and a slot at
  // another
  // one has been requested from the dispatcher.
  kRunningAndRequestingSlot,
  // The request has received its final response.
  kEnded,
};

// What is known about a request when it arrives.
struct Arrival {
  RequestNumber number;
  dispatch::WorkClass work_class;
  // Client account of the caller; empty if there is none.
  base::AccountId account;
  // Priority in the dispatcher's queue.
  std::uint32_t priority = 0;
  // The family decides on the shard, so that one dispatcher sees all
  // repetitions.
  dispatch::RequestFingerprints fingerprints;
  base::TimePoint late_at{};
  base::TimePoint deadline{};
  // Maximum number of upstreams to which the request may be sent.
  std::uint32_t max_attempts = 1;
  // Slots of the service's upstreams in each shard. They determine from which
  // shard a slot is requested.
  fleet::ShardSlots shard_slots{1};
};

// One attempt at one upstream.
struct Attempt {
  dispatch::AttemptId id;
  // The daemon that granted the slot.
  base::DaemonId dispatcher;
  base::UpstreamId upstream;
  std::string address;
  base::TimePoint started_at{};
  // Time that the request spent in the dispatcher's queue.
  base::Duration waited{};
  // A repeatable request is also sent to another upstream if there is no
  // response by this time.
  base::TimePoint retry_at{};
  // From this time on, a hedge may be sent; the maximum if none may.
  base::TimePoint hedge_at = base::TimePoint::max();
  // The slot was requested as that of a hedge.
  bool is_hedge = false;
  // The dispatcher has been told that the attempt takes long.
  bool stall_reported = false;
};

// How many hedges of one request were requested, were granted, and delivered
// its response.
struct HedgeCounts {
  std::uint32_t requested = 0;
  std::uint32_t granted = 0;
  std::uint32_t won = 0;
};

// State of one request, from its arrival to its final response.
struct Request {
  Arrival arrival;
  base::TimePoint arrived_at{};
  Phase phase = Phase::kRequestingSlot;

  // The latest slot request. It is open until the dispatcher grants or refuses
  // it or it is withdrawn.
  dispatch::AttemptId slot_request_id;
  base::DaemonId asked_dispatcher;
  bool slot_request_is_retry = false;
  // The slot is requested for a hedge, whose refusal never ends the request.
  bool slot_request_is_hedge = false;
  base::TimePoint slot_request_repeat_at{};
  std::uint32_t unanswered_slot_requests = 0;
  std::uint32_t not_ready_refusals = 0;
  // Index of the shard from which the slot is requested, and number of shards
  // that had no free slot.
  std::uint32_t shard_index = 0;
  std::uint32_t full_shards = 0;

  // Attempts in progress, in the order in which they were started; at most
  // `Arrival::max_attempts`.
  std::vector<Attempt> attempts;
  // Result of the last attempt that has ended.
  std::optional<AttemptResult> last_result;
  HedgeCounts hedge_counts;
  std::uint32_t slot_requests = 0;
  // Number of attempts in which the request may have reached an upstream.
  std::uint32_t sends = 0;
  std::uint32_t failed_connections = 0;
  // Number of grants that could not be used because of what this daemon knows
  // of their upstreams.
  std::uint32_t returned_grants = 0;
  // Number of ended attempts in which an upstream may have run the request. If
  // there are any, the caller must not be told that the request has not run.
  std::uint32_t possible_runs = 0;
  // An upstream's failure response has been stored. It is delivered if no other
  // attempt is made.
  bool has_failure_response = false;
  // A retry has been requested, or ruled out, since the last grant.
  bool stall_handled = false;
  // A hedge has been requested, or ruled out.
  bool hedge_handled = false;
  std::vector<base::UpstreamId> avoid;
};

}  // namespace poplarfork::request
