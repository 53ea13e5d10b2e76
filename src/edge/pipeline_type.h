#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "base/strong_id_type.h"

namespace poplarfork::edge {

// Number of an exchange, unique within one connection and increasing in the
// order of the requests.
using ExchangeNumber = base::NumberId<struct ExchangeNumberTag>;

// How far an exchange has progressed.
enum class ExchangeStage {
  // The request has been received and is not processed yet.
  kHeld,
  // The request is being processed.
  kRunning,
  // The response, or the start of a streamed one, waits for its turn.
  kAnswered,
  // The response is being written.
  kWriting,
};

// One request of a connection and the response to it.
struct PipelineEntry {
  ExchangeNumber number;
  ExchangeStage stage = ExchangeStage::kHeld;
  // The request may be processed while requests before it have no response.
  bool may_overlap = false;
  // The request has been passed on for processing.
  bool has_started = false;
  // The connection closes after the response.
  bool closes = false;
  std::uint64_t request_bytes = 0;
  std::uint64_t response_bytes = 0;
};

// The exchanges of one connection that are not over, in the order of their
// requests.
struct Pipeline {
  std::deque<PipelineEntry> entries;
  // False once no further request of the connection is taken.
  bool accepts_requests = true;
};

// Limits on the exchanges of one connection.
struct PipelineLimits {
  std::size_t max_exchanges = 1;
  // Limit of the bytes of requests and of responses that wait for their turn.
  std::uint64_t max_waiting_bytes = 0;
};

}  // namespace poplarfork::edge
