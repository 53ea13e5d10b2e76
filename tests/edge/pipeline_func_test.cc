#include "edge/pipeline_func.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace poplarfork::edge {

namespace {

constexpr PipelineLimits kLimits{4, 1000};

// Adds an exchange with a received request.
ExchangeNumber Add(Pipeline& pipeline, bool may_overlap) {
  PipelineEntry entry;
  entry.number = {
      pipeline.entries.empty() ? 1 : pipeline.entries.back().number.value + 1};
  entry.may_overlap = may_overlap;
  AddExchange(pipeline, entry);
  return entry.number;
}

// Starts all requests that may be started.
void StartAllowed(Pipeline& pipeline, bool is_draining = false) {
  while (MayStartFirstHeld(pipeline, is_draining)) {
    PipelineEntry* entry = FindFirstHeld(pipeline);
    entry->stage = ExchangeStage::kRunning;
    entry->has_started = true;
  }
}

// Returns the stages as one letter for each exchange: held, running, answered
// or writing.
std::string Stages(const Pipeline& pipeline) {
  std::string stages;
  for (const PipelineEntry& entry : pipeline.entries)
    stages += "hraw"[static_cast<int>(entry.stage)];
  return stages;
}

// Returns a pipeline with these exchanges, whose requests were started as far
// as allowed. "i" stands for a request that may overlap, "o" for one that may
// not.
Pipeline MakePipeline(const std::string& kinds) {
  Pipeline pipeline;
  for (const char kind : kinds)
    Add(pipeline, kind == 'i');
  StartAllowed(pipeline);
  return pipeline;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(PipelineSuite)

// Load pattern: a slow look-up with fast ones behind it. Guards against
// requests that wait although they may overlap, and against responses out of
// order.
BOOST_AUTO_TEST_CASE(OverlappingRequestsRunAndAreWrittenInOrder) {
  Pipeline pipeline = MakePipeline("iii");
  BOOST_TEST(Stages(pipeline) == "rrr");
  BOOST_TEST(SetAnswered(pipeline, {2}, false, 10).empty());
  BOOST_TEST(!StartWrite(pipeline, false).has_value());
  SetAnswered(pipeline, {1}, false, 10);
  const auto first = StartWrite(pipeline, false);
  BOOST_TEST(first.value().number.value == 1U);
  BOOST_TEST(first.value().stay_open);
  BOOST_TEST(!StartWrite(pipeline, false).has_value());
  FinishWrite(pipeline);
  BOOST_TEST(StartWrite(pipeline, false).value().number.value == 2U);
  BOOST_TEST(Stages(pipeline) == "wr");
}

// Guards against an order that runs although the connection may still be closed
// before its turn, and against a look-up that overtakes an order.
BOOST_AUTO_TEST_CASE(OrderStartsOnlyWhenAllBeforeItAreWritten) {
  Pipeline pipeline = MakePipeline("iiioi");
  BOOST_TEST(Stages(pipeline) == "rrrhh");
  for (const std::uint64_t number : {1, 2, 3})
    SetAnswered(pipeline, {number}, false, 1);
  StartAllowed(pipeline);
  BOOST_TEST(Stages(pipeline) == "aaahh");
  for (int i = 0; i < 3; ++i) {
    StartWrite(pipeline, false);
    StartAllowed(pipeline);
    BOOST_TEST((FindExchange(pipeline, {4})->stage == ExchangeStage::kHeld));
    FinishWrite(pipeline);
  }
  StartAllowed(pipeline);
  BOOST_TEST(Stages(pipeline) == "rr");
}

// Guards against requests behind a closing response that stay in progress, or
// that are started later.
BOOST_AUTO_TEST_CASE(ClosingResponseEndsTheExchangesBehindIt) {
  Pipeline pipeline = MakePipeline("iiio");
  const auto dropped = SetAnswered(pipeline, {2}, true, 1);
  BOOST_REQUIRE(dropped.size() == 2U);
  BOOST_TEST((dropped[0].stage == ExchangeStage::kRunning));
  BOOST_TEST((dropped[1].stage == ExchangeStage::kHeld));
  BOOST_TEST(!MayReadRequest(pipeline, kLimits, true, false));
  SetAnswered(pipeline, {1}, false, 1);
  BOOST_TEST(StartWrite(pipeline, false).value().stay_open);
  FinishWrite(pipeline);
  BOOST_TEST(!StartWrite(pipeline, false).value().stay_open);
}

// Guards against a draining gateway that drops responses to requests that are
// already being processed, or that takes new ones.
BOOST_AUTO_TEST_CASE(DrainingClosesAfterTheLastStartedRequest) {
  Pipeline pipeline = MakePipeline("iio");
  BOOST_TEST(!MayReadRequest(pipeline, kLimits, true, true));
  SetAnswered(pipeline, {1}, false, 1);
  SetAnswered(pipeline, {2}, false, 1);
  BOOST_TEST(StartWrite(pipeline, true).value().stay_open);
  FinishWrite(pipeline);
  const auto last = StartWrite(pipeline, true);
  BOOST_TEST(!last.value().stay_open);
  BOOST_TEST(last.value().dropped.size() == 1U);
  BOOST_TEST(Stages(pipeline) == "w");
}

// Guards against look-ups that are started while the server drains and then
// keep the connection open.
BOOST_AUTO_TEST_CASE(DrainingStartsNothingBehindAnother) {
  Pipeline pipeline = MakePipeline("o");
  Add(pipeline, true);
  StartAllowed(pipeline, true);
  BOOST_TEST(Stages(pipeline) == "rh");
  SetAnswered(pipeline, {1}, false, 1);
  BOOST_TEST(!StartWrite(pipeline, true).value().stay_open);
}

// Guards against a request that was read while the server began to drain and
// that is never processed, although the connection has stayed open for it.
BOOST_AUTO_TEST_CASE(DrainingStartsTheFirstRequest) {
  Pipeline pipeline;
  Add(pipeline, false);
  StartAllowed(pipeline, true);
  BOOST_TEST(Stages(pipeline) == "r");
}

// Guards against a rejection that is sent before its turn, or that makes a
// draining connection wait for it.
BOOST_AUTO_TEST_CASE(RejectionIsWrittenInItsTurn) {
  for (const bool is_draining : {false, true}) {
    Pipeline pipeline = MakePipeline("i");
    PipelineEntry rejection;
    rejection.number = {2};
    rejection.stage = ExchangeStage::kAnswered;
    rejection.closes = true;
    AddExchange(pipeline, rejection);
    BOOST_TEST(!StartWrite(pipeline, is_draining).has_value());
    SetAnswered(pipeline, {1}, false, 1);
    BOOST_TEST(StartWrite(pipeline, is_draining).value().stay_open ==
               !is_draining);
  }
}

// Load pattern: callers that send faster than the gateway answers. Guards
// against unlimited exchanges and buffers per connection.
BOOST_AUTO_TEST_CASE(ReadingStopsAtTheLimits) {
  Pipeline pipeline = MakePipeline("iii");
  BOOST_TEST(MayReadRequest(pipeline, kLimits, true, false));
  BOOST_TEST(!MayReadRequest(pipeline, kLimits, false, false));
  // The response whose turn it is is being sent and does not wait.
  SetAnswered(pipeline, {1}, false, 5000);
  BOOST_TEST(MayReadRequest(pipeline, kLimits, true, false));
  SetAnswered(pipeline, {3}, false, 1001);
  BOOST_TEST(!MayReadRequest(pipeline, kLimits, true, false));
  pipeline.entries[2].response_bytes = 0;
  pipeline.entries[1].request_bytes = 1001;
  BOOST_TEST(!MayReadRequest(pipeline, kLimits, true, false));
  pipeline.entries[1].request_bytes = 0;
  Add(pipeline, true);
  BOOST_TEST(!MayReadRequest(pipeline, kLimits, true, false));
  // A connection without an exchange in progress is always read, so that none
  // waits for another.
  EndAll(pipeline);
  pipeline.accepts_requests = true;
  BOOST_TEST(MayReadRequest(pipeline, kLimits, false, true));
}

// Guards against a limit of one that reads ahead.
BOOST_AUTO_TEST_CASE(LimitOfOneReadsAfterTheResponse) {
  Pipeline pipeline = MakePipeline("i");
  BOOST_TEST(!MayReadRequest(pipeline, {1, 1000}, true, false));
  SetAnswered(pipeline, {1}, false, 1);
  StartWrite(pipeline, false);
  BOOST_TEST(!MayReadRequest(pipeline, {1, 1000}, true, false));
  FinishWrite(pipeline);
  BOOST_TEST(MayReadRequest(pipeline, {1, 1000}, true, false));
}

// Guards against "100 Continue" in the middle of another response, and against
// a rejection for lack of space that only the requests before it take up.
BOOST_AUTO_TEST_CASE(BodyWaitsForItsTurn) {
  const Pipeline idle;
  const Pipeline busy = MakePipeline("i");
  BOOST_TEST((DecideBody(idle, false, true) == BodyDecision::kRead));
  BOOST_TEST((DecideBody(idle, true, true) == BodyDecision::kContinueThenRead));
  BOOST_TEST((DecideBody(idle, true, false) == BodyDecision::kReject));
  BOOST_TEST((DecideBody(busy, false, true) == BodyDecision::kRead));
  BOOST_TEST((DecideBody(busy, true, true) == BodyDecision::kWait));
  BOOST_TEST((DecideBody(busy, false, false) == BodyDecision::kWait));
}

// Guards against held requests that run after their caller has gone.
BOOST_AUTO_TEST_CASE(EndOfReadingRemovesHeldRequests) {
  Pipeline pipeline = MakePipeline("ioi");
  BOOST_TEST(EndReading(pipeline).size() == 2U);
  BOOST_TEST(Stages(pipeline) == "r");
  SetAnswered(pipeline, {1}, false, 1);
  BOOST_TEST(!StartWrite(pipeline, false).value().stay_open);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarfork::edge
