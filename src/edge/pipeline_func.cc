#include "edge/pipeline_func.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace poplarfork::edge {

namespace {

using Entries = std::deque<PipelineEntry>;

// Returns the bytes of the requests, and of the responses except the one whose
// turn it is.
std::uint64_t CountWaitingBytes(const Entries& entries) {
  std::uint64_t bytes = 0;
  for (const PipelineEntry& entry : entries) {
    bytes += entry.request_bytes;
    bytes += &entry == &entries.front() ? 0 : entry.response_bytes;
  }
  return bytes;
}

// Removes the entries from `first` on.
std::vector<PipelineEntry> RemoveFrom(Entries& entries,
                                      const Entries::iterator& first) {
  std::vector<PipelineEntry> removed(first, entries.end());
  entries.erase(first, entries.end());
  return removed;
}

Entries::iterator FindHeld(Entries& entries) {
  return std::find_if(entries.begin(), entries.end(),
                      [](const PipelineEntry& entry) {
                        return entry.stage == ExchangeStage::kHeld;
                      });
}

// Returns whether the connection closes after the response of the first
// exchange. While the server drains, it stays open for the responses to the
// requests behind it that are already being processed.
bool ClosesAfterFirst(const Pipeline& pipeline, bool is_draining) {
  const Entries& entries = pipeline.entries;
  if (entries.front().closes)
    return true;
  const bool has_more = entries.size() > 1;
  if (!is_draining)
    return !has_more && !pipeline.accepts_requests;
  return std::none_of(
      std::next(entries.begin()), entries.end(),
      [](const PipelineEntry& entry) { return entry.has_started; });
}

}  // namespace

bool MayReadRequest(const Pipeline& pipeline,
                    const PipelineLimits& limits,
                    bool has_server_space,
                    bool is_draining) {
  if (!pipeline.accepts_requests)
    return false;
  if (pipeline.entries.empty())
    return true;
  return !is_draining && has_server_space &&
         pipeline.entries.size() < limits.max_exchanges &&
         CountWaitingBytes(pipeline.entries) <= limits.max_waiting_bytes;
}

BodyDecision DecideBody(const Pipeline& pipeline,
                        bool expects_continue,
                        bool has_space) {
  const bool is_first = pipeline.entries.empty();
  if (!has_space)
    return is_first ? BodyDecision::kReject : BodyDecision::kWait;
  if (expects_continue)
    return is_first ? BodyDecision::kContinueThenRead : BodyDecision::kWait;
  return BodyDecision::kRead;
}

void AddExchange(Pipeline& pipeline, const PipelineEntry& entry) {
  pipeline.entries.push_back(entry);
  if (entry.closes)
    pipeline.accepts_requests = false;
}

PipelineEntry* FindExchange(Pipeline& pipeline, ExchangeNumber number) {
  const auto found = std::find_if(
      pipeline.entries.begin(), pipeline.entries.end(),
      [number](const PipelineEntry& entry) { return entry.number == number; });
  return found == pipeline.entries.end() ? nullptr : &*found;
}

PipelineEntry* FindFirstHeld(Pipeline& pipeline) {
  const auto held = FindHeld(pipeline.entries);
  return held == pipeline.entries.end() ? nullptr : &*held;
}

bool MayStartFirstHeld(Pipeline& pipeline, bool is_draining) {
  const auto held = FindHeld(pipeline.entries);
  if (held == pipeline.entries.end())
    return false;
  if (held == pipeline.entries.begin())
    return true;
  // An exchange before it whose response closes the connection would have
  // removed it, except for the response to a request that asks for the close;
  // nothing is read behind such a request.
  return held->may_overlap && !is_draining;
}

std::vector<PipelineEntry> SetAnswered(Pipeline& pipeline,
                                       ExchangeNumber number,
                                       bool closes,
                                       std::uint64_t response_bytes) {
  const auto found = std::find_if(
      pipeline.entries.begin(), pipeline.entries.end(),
      [number](const PipelineEntry& entry) { return entry.number == number; });
  if (found == pipeline.entries.end())
    return {};
  found->stage = ExchangeStage::kAnswered;
  found->response_bytes = response_bytes;
  found->closes = found->closes || closes;
  if (!found->closes)
    return {};
  pipeline.accepts_requests = false;
  return RemoveFrom(pipeline.entries, std::next(found));
}

std::optional<WriteStart> StartWrite(Pipeline& pipeline, bool is_draining) {
  if (pipeline.entries.empty() ||
      pipeline.entries.front().stage != ExchangeStage::kAnswered)
    return std::nullopt;
  WriteStart start;
  start.number = pipeline.entries.front().number;
  start.stay_open = !ClosesAfterFirst(pipeline, is_draining);
  pipeline.entries.front().stage = ExchangeStage::kWriting;
  if (!start.stay_open) {
    pipeline.accepts_requests = false;
    start.dropped =
        RemoveFrom(pipeline.entries, std::next(pipeline.entries.begin()));
  }
  return start;
}

void FinishWrite(Pipeline& pipeline) {
  if (!pipeline.entries.empty())
    pipeline.entries.pop_front();
}

std::vector<PipelineEntry> EndReading(Pipeline& pipeline) {
  pipeline.accepts_requests = false;
  std::vector<PipelineEntry> removed;
  std::erase_if(pipeline.entries, [&removed](const PipelineEntry& entry) {
    const bool is_held = entry.stage == ExchangeStage::kHeld;
    if (is_held)
      removed.push_back(entry);
    return is_held;
  });
  return removed;
}

std::vector<PipelineEntry> EndAll(Pipeline& pipeline) {
  pipeline.accepts_requests = false;
  return RemoveFrom(pipeline.entries, pipeline.entries.begin());
}

}  // namespace poplarfork::edge
