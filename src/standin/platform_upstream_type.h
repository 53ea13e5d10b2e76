#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "base/time_type.h"
#include "standin/http_connection_type.h"
#include "standin/http_server_type.h"

namespace poplarfork::standin {

// How a stand-in of an upstream handles the requests that name its instance id.
enum class PlatformUpstreamFault {
  kNone,
  // Runs the request and responds with 500.
  kError,
  // Responds with 503 and the header Not-Executed, which promises that the
  // request has not run.
  kShed,
  // Starts to run the request and never responds.
  kHang,
  // Runs the request and resets the connection.
  kReset,
  // Responds with 200, but without the header Response-Signature.
  kUnsigned,
  // Responds with the request id of another request.
  kWrongRequestId,
  // Sends fewer bytes of the body than Content-Length announces, and closes the
  // connection.
  kTruncatedBody,
  // Runs the request and responds with 503, without the promise that the
  // request has not run.
  kUnavailableWithoutPromise,
  // Sends two responses to one request.
  kDuplicateResponse,
  // Runs the request and responds with the status line `status_line`.
  kStatusLine,
  // Refuses the first request as kShed does, and answers each later one with
  // that refusal once more, although it runs the request.
  kRepeatedRefusal,
};

// A stand-in of an upstream that is registered in the platform's store. Its
// members may be used on the thread of the loop only.
struct PlatformUpstream {
  explicit PlatformUpstream(const boost::asio::any_io_executor& loop)
      : executor(loop) {}

  boost::asio::any_io_executor executor;
  HttpServerPtr server;
  std::string instance_id;
  std::string address;
  base::Duration service_time{};
  PlatformUpstreamFault fault = PlatformUpstreamFault::kNone;
  // Number of requests that are still turned away with 503, and the value of
  // their header Retry-After.
  int refusals_left = 0;
  std::string retry_after;
  // Status line of the responses with the fault kStatusLine.
  std::string status_line;
  // Value of the header Server-Limit in all responses; empty for none.
  std::string rate_limit;
  // When each request arrived, health probes included.
  std::vector<std::chrono::steady_clock::time_point> arrivals;
  // All responses say that the upstream is leaving.
  bool is_leaving = false;
  // A request with this path, whatever its query, crashes the upstream as soon
  // as it runs: all connections are reset and new ones are refused. Empty for
  // no request.
  std::string crash_path;
  // After a crash, new connections are taken and never answered, in place of
  // being refused.
  bool is_silent_after_crash = false;
  bool has_crashed = false;
  // Called when a run starts. Returns whether it has taken over the response;
  // empty for no action.
  std::function<bool(const HttpConnectionPtr&, const std::string& request_id)>
      on_run;
  // Called after a crash; empty for no action.
  std::function<void(PlatformUpstream&)> on_crash;
  // Request id of the request that kRepeatedRefusal has refused.
  std::string refused_request_id;
  // Number of requests, health probes included.
  int request_count = 0;
  // Number of runs by request id.
  std::map<std::string, int> run_counts;
  // Number of runs whose caller closed the connection before the response.
  int abandoned_runs = 0;
  // Value of the header Deadline-Ms of the latest request.
  std::string last_deadline_ms;
  // Request line and headers of the latest run.
  RequestHead last_run_head;
};

using PlatformUpstreamPtr = std::shared_ptr<PlatformUpstream>;

}  // namespace poplarfork::standin
