#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time_type.h"
#include "dispatch/message_type.h"
#include "fleet/shard_type.h"

namespace poplarfork::request {

// Number of a request, unique within one daemon.
using RequestNumber = base::NumberId<struct RequestNumberTag>;

enum class Phase {
  // A slot has been requested from the dispatcher, which has not replied yet.
  kRequestingSlot,
  // The dispatcher has replied that the request is queued.
  kQueued,
  // The request has been sent to an upstream.
  kRunning,
  // The request has been sent to an upstream that takes too long, and a slot at
  // another one has been requested from the dispatcher.
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
  // A repeatable request is retried at another upstream if there is no response
  // by this time.
  base::TimePoint retry_at{};
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
  base::TimePoint slot_request_repeat_at{};
  std::uint32_t unanswered_slot_requests = 0;
  std::uint32_t not_ready_refusals = 0;
  // Index of the shard from which the slot is requested, and number of shards
  // that had no free slot.
  std::uint32_t shard_index = 0;
  std::uint32_t full_shards = 0;

  std::optional<Attempt> attempt;
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
  // The stall of the current attempt has been handled.
  bool stall_handled = false;
  std::vector<base::UpstreamId> avoid;
};

}  // namespace poplarfork::request
