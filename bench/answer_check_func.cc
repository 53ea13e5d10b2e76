#include "bench/answer_check_func.h"

#include <algorithm>
#include <charconv>

#include <cpprest/json.h>

#include "standin/body_content_func.h"

namespace poplarfork::bench {

namespace {

constexpr std::string_view kBodyPath = "/body?bytes=";
constexpr std::size_t kMaxTextBytes = 16 * 1024;
// Request number N has the body seed `kSeedBase` + N, so that requests that
// follow each other have different bodies.
constexpr std::uint64_t kSeedBase = 1;

std::uint64_t ReadNumber(std::string_view text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

// Returns true if `text` is the JSON with which the stand-in upstream echoes
// the target and the idempotency key of this request.
bool IsEchoOf(const RequestPlan& plan, const std::string& text) {
  std::error_code error;
  const web::json::value json = web::json::value::parse(text, error);
  if (error || !json.has_string_field("target"))
    return false;
  if (json.at("target").as_string() != plan.target)
    return false;
  return plan.key.empty() ||
         (json.has_string_field("idempotency_key") &&
          json.at("idempotency_key").as_string() == plan.key);
}

}  // namespace

RequestPlan PlanRequest(const LoadOptions& options, std::uint64_t number) {
  RequestPlan plan;
  plan.number = number;
  plan.target = options.path;
  if (options.has_keys)
    plan.key = "load-" + options.host + "-" + std::to_string(number);
  if (!options.is_verifying)
    return plan;
  const char separator =
      options.path.find('?') == std::string::npos ? '?' : '&';
  plan.seed = kSeedBase + number;
  plan.target += separator + std::string("seed=") + std::to_string(plan.seed);
  plan.is_generated = options.path.starts_with(kBodyPath);
  if (plan.is_generated)
    plan.bytes = ReadNumber(options.path.substr(kBodyPath.size()));
  return plan;
}

void CheckPiece(AnswerCheck& check, std::string_view piece) {
  if (!check.plan.is_generated) {
    const std::size_t room = kMaxTextBytes - check.text.size();
    check.text.append(piece.substr(0, room));
  } else if (!check.is_different) {
    const std::string expected =
        standin::GenerateContent(check.plan.seed, check.received, piece.size());
    check.is_different = expected != piece;
  }
  check.received += piece.size();
}

AnswerFault FinishCheck(const AnswerCheck& check) {
  if (!check.plan.is_generated) {
    return IsEchoOf(check.plan, check.text) ? AnswerFault::kNone
                                            : AnswerFault::kWrongContent;
  }
  if (check.is_different)
    return AnswerFault::kWrongContent;
  return check.received == check.plan.bytes ? AnswerFault::kNone
                                            : AnswerFault::kWrongLength;
}

}  // namespace poplarfork::bench
