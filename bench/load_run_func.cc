#include "bench/load_run_func.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/error_func.h"
#include "bench/load_connection_func.h"

namespace poplarfork::bench {

namespace {

using boost::asio::ip::tcp;

// The state of the load on one target.
struct LoadTarget {
  TargetResult result;
  std::vector<LoadConnectionPtr> connections;
  // In an open loop, the intended send times of requests that wait for an idle
  // connection.
  std::deque<base::TimePoint> queued_send_times;
  std::uint64_t sent_count = 0;
  std::uint64_t busy_connections = 0;
  base::Duration active_warm_up_time{};
};

struct LoadRun {
  explicit LoadRun(const LoadOptions& load_options)
      : options(load_options), timer(loop) {}

  const LoadOptions& options;
  boost::asio::io_context loop{1};
  boost::asio::steady_timer timer;
  std::vector<LoadTarget> targets;
  std::size_t active_target = 0;
  base::TimePoint slice_start;
  base::TimePoint slice_end;
  std::uint64_t next_slice_request = 0;
  bool is_measuring = false;
  std::uint64_t next_request_number = 0;
};

base::TimePoint Now() {
  const auto since_epoch = std::chrono::steady_clock::now().time_since_epoch();
  return base::TimePoint(
      std::chrono::duration_cast<base::Duration>(since_epoch));
}

std::chrono::steady_clock::time_point ToSteadyTime(base::TimePoint time) {
  return std::chrono::steady_clock::time_point(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(
          time.time_since_epoch()));
}

base::Error MakeOptionError(base::ErrorCode code,
                            const std::string& peer,
                            const std::string& detail) {
  return base::MakeError(code, base::Step::kCommandLine, peer, detail);
}

base::Result<tcp::endpoint> ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  boost::system::error_code error;
  const auto address =
      boost::asio::ip::make_address(text.substr(0, colon), error);
  if (error || colon == std::string::npos) {
    return MakeOptionError(base::ErrorCode::kMalformed, text,
                           "the address of a target must be IP:PORT");
  }
  if (!address.is_loopback()) {
    return MakeOptionError(
        base::ErrorCode::kOutOfRange, text,
        "the address of a target must be a loopback address");
  }
  const int port = std::atoi(text.c_str() + colon + 1);
  return tcp::endpoint(address, static_cast<std::uint16_t>(port));
}

void CountResult(TargetResult& result,
                 const RequestResult& request_result,
                 base::Duration latency) {
  if (request_result.http_status == 0) {
    result.timeouts += request_result.timed_out ? 1 : 0;
    result.connection_errors += request_result.timed_out ? 0 : 1;
    return;
  }
  result.completed_requests += 1;
  result.counts_by_status[request_result.http_status] += 1;
  result.response_bytes += request_result.response_bytes;
  result.wrong_length_responses +=
      request_result.fault == ResponseFault::kWrongLength ? 1 : 0;
  result.wrong_content_responses +=
      request_result.fault == ResponseFault::kWrongContent ? 1 : 0;
  AddLatency(result.latencies, latency);
}

bool IsOpenLoop(const LoadRun& run) {
  return run.options.requests_per_second > 0.0;
}

bool CanStartRequest(const LoadRun& run, const LoadTarget& target) {
  return target.sent_count < run.options.max_requests && Now() < run.slice_end;
}

void ContinueLoad(LoadRun& run,
                  LoadTarget& target,
                  const LoadConnectionPtr& connection);
void StartSlice(LoadRun& run);

// Ends the slice if no more requests are to be sent in it and the last response
// of its target has arrived.
void EndSliceIfIdle(LoadRun& run, LoadTarget& target) {
  if (target.busy_connections != 0 || CanStartRequest(run, target) ||
      !target.queued_send_times.empty())
    return;
  run.timer.cancel();
  const base::Duration active_time = Now() - run.slice_start;
  if (run.is_measuring)
    target.result.active_time += active_time;
  else
    target.active_warm_up_time += active_time;
  StartSlice(run);
}

void StartRequest(LoadRun& run,
                  LoadTarget& target,
                  const LoadConnectionPtr& connection,
                  base::TimePoint intended_time) {
  target.sent_count += run.is_measuring ? 1 : 0;
  target.busy_connections += 1;
  const bool is_counted = run.is_measuring;
  SendRequest(connection, PlanRequest(run.options, run.next_request_number++),
              [&run, &target, connection, intended_time,
               is_counted](const RequestResult& request_result) {
                target.busy_connections -= 1;
                if (is_counted)
                  CountResult(target.result, request_result,
                              Now() - intended_time);
                ContinueLoad(run, target, connection);
              });
}

void ContinueLoad(LoadRun& run,
                  LoadTarget& target,
                  const LoadConnectionPtr& connection) {
  if (!target.queued_send_times.empty()) {
    const base::TimePoint intended_time = target.queued_send_times.front();
    target.queued_send_times.pop_front();
    StartRequest(run, target, connection, intended_time);
    return;
  }
  if (!IsOpenLoop(run) && CanStartRequest(run, target)) {
    StartRequest(run, target, connection, Now());
    return;
  }
  EndSliceIfIdle(run, target);
}

void StartOrQueueRequest(LoadRun& run,
                         LoadTarget& target,
                         base::TimePoint intended_time) {
  for (const LoadConnectionPtr& connection : target.connections) {
    if (connection->is_busy)
      continue;
    StartRequest(run, target, connection, intended_time);
    return;
  }
  target.queued_send_times.push_back(intended_time);
}

// In an open loop, waits until the intended send time of the next request of
// the slice.
void ScheduleNextRequest(LoadRun& run, LoadTarget& target) {
  const base::TimePoint intended_time = IntendedSendTime(
      run.slice_start, run.options.requests_per_second, run.next_slice_request);
  const base::TimePoint timer_at = std::min(intended_time, run.slice_end);
  run.timer.expires_at(ToSteadyTime(timer_at));
  run.timer.async_wait(
      [&run, &target, intended_time](boost::system::error_code error) {
        if (error)
          return;
        if (intended_time >= run.slice_end ||
            target.sent_count + target.queued_send_times.size() >=
                run.options.max_requests) {
          EndSliceIfIdle(run, target);
          return;
        }
        run.next_slice_request += 1;
        StartOrQueueRequest(run, target, intended_time);
        ScheduleNextRequest(run, target);
      });
}

bool IsTargetFinished(const LoadRun& run, const LoadTarget& target) {
  return target.result.active_time >= run.options.duration ||
         target.sent_count >= run.options.max_requests;
}

// Selects the next target in turn that has not finished. Returns false if all
// have finished.
bool SelectNextTarget(LoadRun& run) {
  for (std::size_t step = 1; step <= run.targets.size(); ++step) {
    const std::size_t index = (run.active_target + step) % run.targets.size();
    if (!IsTargetFinished(run, run.targets[index])) {
      run.active_target = index;
      return true;
    }
  }
  return false;
}

void StartSlice(LoadRun& run) {
  if (!SelectNextTarget(run))
    return;
  LoadTarget& target = run.targets[run.active_target];
  run.is_measuring = target.active_warm_up_time >= run.options.warm_up_time;
  const base::Duration remaining_time =
      run.is_measuring ? run.options.duration - target.result.active_time
                       : run.options.warm_up_time - target.active_warm_up_time;
  run.slice_start = Now();
  run.slice_end =
      run.slice_start + std::min(run.options.slice_time, remaining_time);
  run.next_slice_request = 0;
  if (IsOpenLoop(run)) {
    ScheduleNextRequest(run, target);
    return;
  }
  for (const LoadConnectionPtr& connection : target.connections) {
    if (CanStartRequest(run, target))
      StartRequest(run, target, connection, Now());
  }
}

base::Result<LoadTarget> MakeTarget(LoadRun& run, const std::string& address) {
  BOOST_OUTCOME_TRY(endpoint, ParseEndpoint(address));
  LoadTarget target;
  target.result.address = address;
  for (std::size_t index = 0; index < run.options.connections_per_target;
       ++index) {
    auto connection = std::make_shared<LoadConnection>(run.loop, run.options);
    connection->endpoint = endpoint;
    target.connections.push_back(std::move(connection));
  }
  return target;
}

base::Result<void> CheckLimits(const LoadOptions& options) {
  if (options.targets.empty() || options.connections_per_target == 0 ||
      options.max_requests > kMaxRequests ||
      options.duration + options.warm_up_time > kMaxLoadDuration) {
    return MakeOptionError(
        base::ErrorCode::kOutOfRange, "",
        "at least one target and connection, at most 20,000,000 "
        "requests and 30 minutes are accepted");
  }
  return boost::outcome_v2::success();
}

}  // namespace

base::TimePoint IntendedSendTime(base::TimePoint start,
                                 double requests_per_second,
                                 std::uint64_t request_index) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  const double offset = static_cast<double>(request_index) *
                        kMicrosecondsPerSecond / requests_per_second;
  return start +
         base::Duration(static_cast<base::Duration::rep>(std::llround(offset)));
}

base::Result<std::vector<TargetResult>> RunLoad(const LoadOptions& options) {
  BOOST_OUTCOME_TRYV(CheckLimits(options));
  LoadRun run(options);
  for (const std::string& address : options.targets) {
    BOOST_OUTCOME_TRY(target, MakeTarget(run, address));
    run.targets.push_back(std::move(target));
  }
  StartSlice(run);
  run.loop.run();
  std::vector<TargetResult> results;
  results.reserve(run.targets.size());
  for (LoadTarget& target : run.targets)
    results.push_back(std::move(target.result));
  return results;
}

}  // namespace poplarfork::bench
