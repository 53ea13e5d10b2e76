#include "bench/load_report_func.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>

#include <cpprest/json.h>

namespace poplarfork::bench {

namespace {

using web::json::value;

value QuantileMicroseconds(const LatencyHistogram& latencies, double quantile) {
  return value::number(std::int64_t{Quantile(latencies, quantile).count()});
}

}  // namespace

std::string FormatReportLine(const TargetResult& result) {
  const double active_seconds =
      std::chrono::duration<double>(result.active_time).count();
  const double requests_per_second =
      static_cast<double>(result.completed_requests) /
      std::max(active_seconds, 1e-6);
  value json = value::object(true);
  json["target"] = value::string(result.address);
  json["requests_per_s"] = value::number(std::round(requests_per_second));
  json["p50_us"] = QuantileMicroseconds(result.latencies, 0.5);
  json["p99_us"] = QuantileMicroseconds(result.latencies, 0.99);
  json["p99.9_us"] = QuantileMicroseconds(result.latencies, 0.999);
  json["max_us"] = QuantileMicroseconds(result.latencies, 1.0);
  json["completed"] = value::number(result.completed_requests);
  json["active_us"] = value::number(std::int64_t{result.active_time.count()});
  json["bytes"] = value::number(result.response_bytes);
  value statuses = value::object(true);
  for (const auto& [status, count] : result.counts_by_status)
    statuses[std::to_string(status)] = value::number(count);
  json["statuses"] = statuses;
  json["connection_errors"] = value::number(result.connection_errors);
  json["timeouts"] = value::number(result.timeouts);
  json["wrong_length"] = value::number(result.wrong_length_responses);
  json["wrong_content"] = value::number(result.wrong_content_responses);
  return json.serialize();
}

bool IsVerified(const TargetResult& result) {
  return result.wrong_length_responses == 0 &&
         result.wrong_content_responses == 0;
}

}  // namespace poplarfork::bench
