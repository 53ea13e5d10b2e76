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
  std::deque<base::TimePoint> waiting;
  std::uint64_t sent = 0;
  std::uint64_t busy = 0;
  base::Duration warmed{};
};

struct LoadRun {
  explicit LoadRun(const LoadOptions& load_options)
      : options(load_options), timer(loop) {}

  const LoadOptions& options;
  boost::asio::io_context loop{1};
  boost::asio::steady_timer timer;
  std::vector<LoadTarget> targets;
  std::size_t active = 0;
  base::TimePoint slice_start;
  base::TimePoint slice_end;
  std::uint64_t slice_index = 0;
  bool is_warm = false;
  std::uint64_t next_number = 0;
};

base::TimePoint Now() {
  const auto since_epoch = std::chrono::steady_clock::now().time_since_epoch();
  return base::TimePoint(
      std::chrono::duration_cast<base::Duration>(since_epoch));
}

std::chrono::steady_clock::time_point TimerTime(base::TimePoint time) {
  return std::chrono::steady_clock::time_point(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(
          time.time_since_epoch()));
}

base::Error OptionError(base::ErrorCode code,
                        const std::string& peer,
                        const std::string& detail) {
  return base::MakeError(code, base::Step::kCommandLine, peer, detail);
}

base::Result<tcp::endpoint> ReadEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  boost::system::error_code error;
  const auto address =
      boost::asio::ip::make_address(text.substr(0, colon), error);
  if (error || colon == std::string::npos) {
    return OptionError(base::ErrorCode::kMalformed, text,
                       "the address of a target must be IP:PORT");
  }
  if (!address.is_loopback()) {
    return OptionError(base::ErrorCode::kOutOfRange, text,
                       "the address of a target must be a loopback address");
  }
  const int port = std::atoi(text.c_str() + colon + 1);
  return tcp::endpoint(address, static_cast<std::uint16_t>(port));
}

void CountEnd(TargetResult& result,
              const RequestEnd& end,
              base::Duration latency) {
  if (end.status == 0) {
    result.timeouts += end.is_timeout ? 1 : 0;
    result.connection_errors += end.is_timeout ? 0 : 1;
    return;
  }
  result.completed += 1;
  result.statuses[end.status] += 1;
  result.bytes += end.bytes;
  result.wrong_length += end.fault == AnswerFault::kWrongLength ? 1 : 0;
  result.wrong_content += end.fault == AnswerFault::kWrongContent ? 1 : 0;
  AddLatency(result.latencies, latency);
}

bool IsOpenLoop(const LoadRun& run) {
  return run.options.rate > 0.0;
}

bool MayStart(const LoadRun& run, const LoadTarget& target) {
  return target.sent < run.options.max_requests && Now() < run.slice_end;
}

void Continue(LoadRun& run,
              LoadTarget& target,
              const LoadConnectionPtr& connection);
void StartSlice(LoadRun& run);

// Ends the slice if no more requests are to be sent in it and the last response
// of its target has arrived.
void EndSliceIfIdle(LoadRun& run, LoadTarget& target) {
  if (target.busy != 0 || MayStart(run, target) || !target.waiting.empty())
    return;
  run.timer.cancel();
  const base::Duration active = Now() - run.slice_start;
  if (run.is_warm)
    target.result.active += active;
  else
    target.warmed += active;
  StartSlice(run);
}

void Start(LoadRun& run,
           LoadTarget& target,
           const LoadConnectionPtr& connection,
           base::TimePoint intended) {
  target.sent += run.is_warm ? 1 : 0;
  target.busy += 1;
  const bool is_counted = run.is_warm;
  SendRequest(
      connection, PlanRequest(run.options, run.next_number++),
      [&run, &target, connection, intended, is_counted](const RequestEnd& end) {
        target.busy -= 1;
        if (is_counted)
          CountEnd(target.result, end, Now() - intended);
        Continue(run, target, connection);
      });
}

void Continue(LoadRun& run,
              LoadTarget& target,
              const LoadConnectionPtr& connection) {
  if (!target.waiting.empty()) {
    const base::TimePoint intended = target.waiting.front();
    target.waiting.pop_front();
    Start(run, target, connection, intended);
    return;
  }
  if (!IsOpenLoop(run) && MayStart(run, target)) {
    Start(run, target, connection, Now());
    return;
  }
  EndSliceIfIdle(run, target);
}

void StartIntended(LoadRun& run, LoadTarget& target, base::TimePoint intended) {
  for (const LoadConnectionPtr& connection : target.connections) {
    if (connection->is_busy)
      continue;
    Start(run, target, connection, intended);
    return;
  }
  target.waiting.push_back(intended);
}

// In an open loop, waits until the intended send time of the next request of
// the slice.
void ScheduleNext(LoadRun& run, LoadTarget& target) {
  const base::TimePoint intended =
      IntendedTime(run.slice_start, run.options.rate, run.slice_index);
  const base::TimePoint wake = std::min(intended, run.slice_end);
  run.timer.expires_at(TimerTime(wake));
  run.timer.async_wait(
      [&run, &target, intended](boost::system::error_code error) {
        if (error)
          return;
        if (intended >= run.slice_end ||
            target.sent + target.waiting.size() >= run.options.max_requests) {
          EndSliceIfIdle(run, target);
          return;
        }
        run.slice_index += 1;
        StartIntended(run, target, intended);
        ScheduleNext(run, target);
      });
}

bool IsFinished(const LoadRun& run, const LoadTarget& target) {
  return target.result.active >= run.options.duration ||
         target.sent >= run.options.max_requests;
}

// Selects the next target in turn that has not finished. Returns false if all
// have finished.
bool ChooseTarget(LoadRun& run) {
  for (std::size_t step = 1; step <= run.targets.size(); ++step) {
    const std::size_t index = (run.active + step) % run.targets.size();
    if (!IsFinished(run, run.targets[index])) {
      run.active = index;
      return true;
    }
  }
  return false;
}

void StartSlice(LoadRun& run) {
  if (!ChooseTarget(run))
    return;
  LoadTarget& target = run.targets[run.active];
  run.is_warm = target.warmed >= run.options.warm_up;
  const base::Duration left = run.is_warm
                                  ? run.options.duration - target.result.active
                                  : run.options.warm_up - target.warmed;
  run.slice_start = Now();
  run.slice_end = run.slice_start + std::min(run.options.slice, left);
  run.slice_index = 0;
  if (IsOpenLoop(run)) {
    ScheduleNext(run, target);
    return;
  }
  for (const LoadConnectionPtr& connection : target.connections) {
    if (MayStart(run, target))
      Start(run, target, connection, Now());
  }
}

base::Result<LoadTarget> MakeTarget(LoadRun& run, const std::string& address) {
  BOOST_OUTCOME_TRY(endpoint, ReadEndpoint(address));
  LoadTarget target;
  target.result.address = address;
  for (std::size_t index = 0; index < run.options.connections; ++index) {
    auto connection = std::make_shared<LoadConnection>(run.loop, run.options);
    connection->endpoint = endpoint;
    target.connections.push_back(std::move(connection));
  }
  return target;
}

base::Result<void> CheckLimits(const LoadOptions& options) {
  if (options.targets.empty() || options.connections == 0 ||
      options.max_requests > kMaxRequests ||
      options.duration + options.warm_up > kMaxDuration) {
    return OptionError(base::ErrorCode::kOutOfRange, "",
                       "at least one target and connection, at most 20,000,000 "
                       "requests and 30 minutes are accepted");
  }
  return boost::outcome_v2::success();
}

}  // namespace

base::TimePoint IntendedTime(base::TimePoint start,
                             double rate,
                             std::uint64_t index) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  const double offset =
      static_cast<double>(index) * kMicrosecondsPerSecond / rate;
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
