#pragma once

#include <optional>
#include <vector>

#include "edge/pipeline_type.h"

namespace poplarfork::edge {

// How to proceed with a request of which only the header has been received.
enum class BodyDecision {
  kRead,
  // Tells the caller to send the body (100 Continue), then reads it.
  kContinueThenRead,
  // Waits until the exchanges before it are over.
  kWait,
  // Rejects the request, because there is no space for its body.
  kReject,
};

// The start of the response whose turn it is.
struct WriteStart {
  ExchangeNumber number;
  // The connection stays open after the response.
  bool stay_open = false;
  // Exchanges that end without a response because the connection closes.
  std::vector<PipelineEntry> dropped;
};

// Returns whether the next request of the connection may be read.
// `has_server_space` is false while the buffers of the whole server are full.
bool MayReadRequest(const Pipeline& pipeline,
                    const PipelineLimits& limits,
                    bool has_server_space,
                    bool is_draining);

// Decides about the body of the request whose header was received last.
// `has_space` tells whether the buffers of the server have space for it.
BodyDecision DecideBody(const Pipeline& pipeline,
                        bool expects_continue,
                        bool has_space);

// Appends the exchange of a request that has been received.
void AddExchange(Pipeline& pipeline, const PipelineEntry& entry);

// Returns the exchange with the given number, or null if it is over.
PipelineEntry* FindExchange(Pipeline& pipeline, ExchangeNumber number);

// Returns the first exchange whose request has not been started, or null.
// Requests are started in the order in which they were received.
PipelineEntry* FindFirstHeld(Pipeline& pipeline);

// Returns whether the request of the first held exchange may be started. A
// request that must not run twice waits until all responses before it have been
// written, because only then it is certain that the connection is not closed
// before its turn.
bool MayStartFirstHeld(Pipeline& pipeline, bool is_draining);

// Handles that the response of a running exchange is available. If the
// connection closes after it, the exchanges behind it end; they are returned.
std::vector<PipelineEntry> SetAnswered(Pipeline& pipeline,
                                       ExchangeNumber number,
                                       bool closes,
                                       std::uint64_t response_bytes);

// Starts to write the response of the first exchange, if it is available.
std::optional<WriteStart> StartWrite(Pipeline& pipeline, bool is_draining);

// Handles that the response of the first exchange has been written.
void FinishWrite(Pipeline& pipeline);

// Takes no further requests and removes the held exchanges, whose requests
// count as not read.
std::vector<PipelineEntry> EndReading(Pipeline& pipeline);

// Takes no further requests and removes all exchanges.
std::vector<PipelineEntry> EndAll(Pipeline& pipeline);

}  // namespace poplarfork::edge
