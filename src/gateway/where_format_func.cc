#include "gateway/where_format_func.h"

#include <algorithm>

#include "gateway/log_func.h"
#include "gateway/response_func.h"
#include "request/result_func.h"

namespace poplarfork::gateway {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::size_t kMaxCandidates = 5;

const char* ExclusionName(dispatch::Exclusion exclusion) {
  switch (exclusion) {
    case dispatch::Exclusion::kDraining:
      return "draining";
    case dispatch::Exclusion::kAvoided:
      return "avoided";
    case dispatch::Exclusion::kDaemonPaused:
      return "gateway_paused";
    case dispatch::Exclusion::kPathFailed:
      return "path_failed";
    case dispatch::Exclusion::kSuspended:
      return "suspended";
    case dispatch::Exclusion::kTrialFull:
      return "trial_full";
    case dispatch::Exclusion::kNoFreeSlot:
      return "no_free_slot";
    case dispatch::Exclusion::kStatedLimit:
      return "stated_limit";
  }
  return "unknown";
}

// Returns the name that logs and metrics use.
const char* HealthStatusName(dispatch::HealthStatus status) {
  switch (status) {
    case dispatch::HealthStatus::kHealthy:
      return "trusted";
    case dispatch::HealthStatus::kSuspended:
      return "suspended";
    case dispatch::HealthStatus::kTrial:
      return "trial";
  }
  return "unknown";
}

Json FormatCandidate(const dispatch::PlacementCandidate& candidate) {
  return {{"upstream", candidate.id.value},
          {"data_centre", candidate.data_centre.value},
          {"health", HealthStatusName(candidate.health_status)},
          {"fault_probability", candidate.fault_probability},
          {"running", candidate.running_count},
          {"slots", candidate.slots},
          {"cost", candidate.cost}};
}

Json FormatRefusal(const dispatch::ExpectedReply& reply) {
  const request::Failure failure = request::ToFailure(reply.reason);
  const edge::HttpResponse response =
      MakeFailureResponse({failure, true, reply.retry_after});
  Json json = FormatRejection(response.result_int(), FailureName(failure));
  json["retry_after_ms"] = ToMilliseconds(reply.retry_after);
  json["other_shard_is_asked"] = request::IsShardFull(reply.reason);
  return json;
}

Json FormatReply(const dispatch::ExpectedReply& reply) {
  switch (reply.result) {
    case dispatch::ExpectedResult::kGranted:
      return {{"result", "sent"},
              {"upstream", reply.upstream.value},
              {"for_coverage", reply.for_coverage},
              {"near_tie", reply.is_near_tie}};
    case dispatch::ExpectedResult::kQueued:
      return {{"result", "waits"}};
    case dispatch::ExpectedResult::kRefused:
      return FormatRefusal(reply);
  }
  return {};
}

}  // namespace

Json FormatRejection(unsigned status, const char* reason) {
  return {{"result", "refused"}, {"status", status}, {"reason", reason}};
}

Json FormatExplanation(const dispatch::Explanation& explanation) {
  Json json;
  json["account_tokens"] = explanation.account_tokens
                               ? Json(*explanation.account_tokens)
                               : Json(nullptr);
  json["waiting"] = explanation.waiting_count;
  json["candidate_count"] = explanation.candidates.size();
  json["candidates"] = Json::array();
  const std::size_t shown =
      std::min(explanation.candidates.size(), kMaxCandidates);
  for (std::size_t i = 0; i < shown; ++i)
    json["candidates"].push_back(FormatCandidate(explanation.candidates[i]));
  json["excluded"] = Json::array();
  for (const dispatch::ExcludedUpstream& excluded : explanation.excluded)
    json["excluded"].push_back({{"upstream", excluded.id.value},
                                {"reason", ExclusionName(excluded.reason)}});
  json["outcome"] = FormatReply(explanation.reply);
  return json;
}

}  // namespace poplarfork::gateway
