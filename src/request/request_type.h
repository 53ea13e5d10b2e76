#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time_type.h"
#include "dispatch/message_type.h"
#include "fleet/shard_type.h"

namespace poplarfork::request {

// Number of a request within one daemon.
using RequestNumber = base::NumberId<struct RequestNumberTag>;

enum class Phase {
  // The dispatcher has been asked and has not answered.
  kAsking,
  // The dispatcher said that the request waits.
  kWaiting,
  // The request is with an upstream.
  kRunning,
  // It is with an upstream that takes too long, and the dispatcher has been
  // asked for another one.
  kRunningAndAsking,
  // It has its final answer.
  kEnded,
};

// What is known of a request when it arrives.
struct Arrival {
  RequestNumber number;
  dispatch::WorkClass work;
  dispatch::Fingerprint fingerprint;
  base::TimePoint late_at{};
  base::TimePoint deadline{};
  // Upstreams to which it may be sent.
  std::uint32_t max_attempts = 1;
  // Slots of the service's upstreams by shard; decide whom it asks.
  fleet::ShardSlots shards{1};
};

// One attempt at one upstream.
struct Attempt {
  dispatch::AttemptId id;
  // Daemon whose dispatcher granted it.
  base::DaemonId dispatcher;
  base::UpstreamId upstream;
  std::string address;
  base::TimePoint started_at{};
  // Time that the request waited at the dispatcher.
  base::Duration waited{};
  // A repeatable request is sent elsewhere if it has no answer by then.
  base::TimePoint retry_at{};
};

// The life of one request, from its arrival to its final answer.
struct Request {
  Arrival arrival;
  base::TimePoint arrived_at{};
  Phase phase = Phase::kAsking;

  // The question that is open.
  dispatch::AttemptId asked;
  base::DaemonId asked_of;
  bool asked_as_retry = false;
  base::TimePoint ask_again_at{};
  std::uint32_t unanswered_asks = 0;
  std::uint32_t refusals_not_ready = 0;
  // Index of the shard that is asked, and shards that had no room.
  std::uint32_t shard = 0;
  std::uint32_t full_shards = 0;

  std::optional<Attempt> attempt;
  std::uint32_t asks = 0;
  // Attempts in which the request may have reached an upstream.
  std::uint32_t sends = 0;
  std::uint32_t unreachable = 0;
  // Ended attempts after which an upstream may have run the request. With any,
  // "not run" would be false.
  std::uint32_t possible_runs = 0;
  // An upstream's own failure is at hand and is delivered if no other attempt
  // is made.
  bool has_failed_answer = false;
  // The stall of the present attempt has been acted on.
  bool stall_handled = false;
  std::vector<base::UpstreamId> avoid;
};

}  // namespace poplarfork::request
