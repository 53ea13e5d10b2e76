#include "bench/response_check_func.h"

#include <algorithm>
#include <charconv>

#include <cpprest/json.h>

#include "standin/body_content_func.h"

namespace poplarfork::bench {

namespace {

constexpr std::string_view kBodyPath = "/body?bytes=";
constexpr std::size_t kMaxEchoBytes = 16 * 1024;
// Request number N has the body seed `kSeedBase` + N, so that requests that
// follow each other have different bodies.
constexpr std::uint64_t kSeedBase = 1;

std::uint64_t ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

// Returns true if `text` is the JSON with which the stand-in upstream echoes
// the target and the idempotency key of this request.
bool EchoMatchesRequest(const RequestPlan& plan, const std::string& text) {
  std::error_code error;
  const web::json::value json = web::json::value::parse(text, error);
  if (error || !json.has_string_field("target"))
    return false;
  if (json.at("target").as_string() != plan.request_target)
    return false;
  return plan.idempotency_key.empty() ||
         (json.has_string_field("idempotency_key") &&
          json.at("idempotency_key").as_string() == plan.idempotency_key);
}

}  // namespace

RequestPlan PlanRequest(const LoadOptions& options,
                        std::uint64_t request_number) {
  RequestPlan plan;
  plan.request_number = request_number;
  plan.request_target = options.path;
  if (options.sends_idempotency_keys)
    plan.idempotency_key =
        "load-" + options.host + "-" + std::to_string(request_number);
  if (!options.verifies_responses)
    return plan;
  const char separator =
      options.path.find('?') == std::string::npos ? '?' : '&';
  plan.body_seed = kSeedBase + request_number;
  plan.request_target +=
      separator + std::string("seed=") + std::to_string(plan.body_seed);
  plan.expects_generated_body = options.path.starts_with(kBodyPath);
  if (plan.expects_generated_body)
    plan.expected_bytes = ParseNumber(options.path.substr(kBodyPath.size()));
  return plan;
}

void CheckBodyChunk(ResponseCheck& check, std::string_view chunk) {
  if (!check.plan.expects_generated_body) {
    const std::size_t remaining_bytes = kMaxEchoBytes - check.echo_text.size();
    check.echo_text.append(chunk.substr(0, remaining_bytes));
  } else if (!check.has_wrong_content) {
    const std::string expected = standin::GenerateContent(
        check.plan.body_seed, check.received_bytes, chunk.size());
    check.has_wrong_content = expected != chunk;
  }
  check.received_bytes += chunk.size();
}

ResponseFault EvaluateResponse(const ResponseCheck& check) {
  if (!check.plan.expects_generated_body) {
    return EchoMatchesRequest(check.plan, check.echo_text)
               ? ResponseFault::kNone
               : ResponseFault::kWrongContent;
  }
  if (check.has_wrong_content)
    return ResponseFault::kWrongContent;
  return check.received_bytes == check.plan.expected_bytes
             ? ResponseFault::kNone
             : ResponseFault::kWrongLength;
}

}  // namespace poplarfork::bench
