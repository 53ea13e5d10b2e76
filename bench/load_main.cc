#include <chrono>
#include <cstdint>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "base/error_func.h"
#include "bench/load_report_func.h"
#include "bench/load_run_func.h"

ABSL_FLAG(std::vector<std::string>,
          targets,
          {},
          "IP:PORT of each target, a loopback address");
ABSL_FLAG(std::uint64_t, connections, 4, "connections per target");
ABSL_FLAG(double, rate, 0.0, "requests/s of an open loop; 0 is a closed loop");
ABSL_FLAG(double, seconds, 10.0, "time for which each target is active");
ABSL_FLAG(double, warm_up_seconds, 1.0, "additional time that is not counted");
ABSL_FLAG(double, slice_ms, 500.0, "time of each turn of a target");
ABSL_FLAG(std::uint64_t, max_requests, 1000000, "limit for each target");
ABSL_FLAG(double, timeout_ms, 10000.0, "time limit of a request");
ABSL_FLAG(std::string, method, "GET", "method of the requests");
ABSL_FLAG(std::string, path, "/", "path and query of the requests");
ABSL_FLAG(std::string, host, "load", "value of the Host header");
ABSL_FLAG(std::string, account, "", "value of the Poplarfork-Account header");
ABSL_FLAG(bool, keys, false, "send an Idempotency-Key with each request");
ABSL_FLAG(std::uint64_t, body_bytes, 0, "size of the request body");
ABSL_FLAG(bool,
          verify,
          false,
          "check that each response is complete and belongs to its request");

namespace poplarfork::bench {

namespace {

base::Duration ToDuration(double seconds) {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(seconds));
}

LoadOptions MakeLoadOptions() {
  constexpr double kSecondsPerMillisecond = 0.001;
  LoadOptions options;
  options.targets = absl::GetFlag(FLAGS_targets);
  options.connections_per_target = absl::GetFlag(FLAGS_connections);
  options.requests_per_second = absl::GetFlag(FLAGS_rate);
  options.duration = ToDuration(absl::GetFlag(FLAGS_seconds));
  options.warm_up_time = ToDuration(absl::GetFlag(FLAGS_warm_up_seconds));
  options.slice_time =
      ToDuration(absl::GetFlag(FLAGS_slice_ms) * kSecondsPerMillisecond);
  options.max_requests = absl::GetFlag(FLAGS_max_requests);
  options.request_timeout =
      ToDuration(absl::GetFlag(FLAGS_timeout_ms) * kSecondsPerMillisecond);
  options.method = absl::GetFlag(FLAGS_method);
  options.path = absl::GetFlag(FLAGS_path);
  options.host = absl::GetFlag(FLAGS_host);
  options.account = absl::GetFlag(FLAGS_account);
  options.sends_idempotency_keys = absl::GetFlag(FLAGS_keys);
  options.body_bytes = absl::GetFlag(FLAGS_body_bytes);
  options.verifies_responses = absl::GetFlag(FLAGS_verify);
  return options;
}

int RunProgram() {
  const LoadOptions options = MakeLoadOptions();
  const auto results = RunLoad(options);
  if (!results) {
    std::cerr << base::ToString(results.error()) << std::endl;
    return 2;
  }
  bool are_all_verified = true;
  for (const TargetResult& result : results.value()) {
    std::cout << FormatReportLine(result) << std::endl;
    are_all_verified = are_all_verified && IsVerified(result);
  }
  return are_all_verified ? 0 : 1;
}

}  // namespace

}  // namespace poplarfork::bench

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Load generator: a closed loop, or an open loop with --rate. Prints one "
      "JSON line for each target. Exits with 1 if --verify found a wrong "
      "response, and with 2 if the load could not be run.");
  absl::ParseCommandLine(argc, argv);
  try {
    return poplarfork::bench::RunProgram();
  } catch (const std::exception& error) {
    std::cerr << "bench_load: " << error.what() << std::endl;
    return 2;
  }
}
