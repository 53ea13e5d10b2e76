#include "daemon/claim_func.h"

#include <cpprest/json.h>

#include <memory>
#include <string>
#include <utility>

#include "claim/answer_func.h"
#include "claim/claim_codec_func.h"
#include "claim/claim_func.h"
#include "claim/claim_limits_type.h"
#include "clock/now_func.h"
#include "daemon/attempt_func.h"
#include "daemon/claim_store_func.h"
#include "daemon/decision_log_func.h"
#include "daemon/problem_func.h"
#include "daemon/relay_func.h"
#include "daemon/request_end_func.h"
#include "peer/transport_func.h"

namespace poplarfork::daemon {

namespace {

namespace http = boost::beast::http;
using web::json::value;

constexpr char kIdempotencyKeyField[] = "Idempotency-Key";
constexpr char kFirstSendField[] = "Poplarfork-First-Send";

std::string GetFieldValue(const edge::HttpRequest& request, const char* name) {
  const auto field = request[name];
  return {field.data(), field.size()};
}

RequestPtr FindClaimedRequest(Daemon& daemon, claim::RequestToken token) {
  const auto found = daemon.claimed_requests.find(token);
  return found == daemon.claimed_requests.end() ? nullptr : found->second;
}

// Returns the header lines of a response to retain: "Name: value", each with
// CRLF at its end.
std::string FormatHead(const edge::HttpResponse& response) {
  std::string head;
  for (const auto& field : response.base()) {
    head.append(field.name_string().data(), field.name_string().size());
    head += ": ";
    head.append(field.value().data(), field.value().size());
    head += "\r\n";
  }
  return head;
}

void SetFieldsFromHead(edge::HttpResponse& response, std::string_view head) {
  while (!head.empty()) {
    const std::size_t end = head.find("\r\n");
    const std::string_view line = head.substr(0, end);
    const std::size_t colon = line.find(": ");
    const std::string_view name = line.substr(0, colon);
    const std::string_view field_value = line.substr(colon + 2);
    response.set(
        boost::beast::string_view(name.data(), name.size()),
        boost::beast::string_view(field_value.data(), field_value.size()));
    head.remove_prefix(end + 2);
  }
}

edge::HttpResponse RenderRetainedResponse(const claim::Answer& answer,
                                          const base::RequestId& request_id) {
  edge::HttpResponse response(
      static_cast<http::status>(answer.response->status), 11);
  SetFieldsFromHead(response, answer.response->head);
  response.set("Poplarfork-Request-Id", request_id.value);
  response.set("Poplarfork-Repeated", "true");
  response.body() = answer.response->body;
  return response;
}

edge::HttpResponse RenderClaimAnswer(const claim::Answer& answer,
                                     const base::RequestId& request_id) {
  if (answer.response)
    return RenderRetainedResponse(answer, request_id);
  Problem problem;
  problem.status = static_cast<http::status>(answer.status);
  problem.reason = claim::ReasonName(answer.reason);
  problem.retry_after = answer.retry_after;
  edge::HttpResponse response = MakeProblemResponse(problem, request_id);
  const std::string outcome_name = claim::OutcomeName(answer.outcome);
  response.set("Poplarfork-Outcome", outcome_name);
  if (!answer.minted_key.empty())
    response.set("Poplarfork-Minted-Key", answer.minted_key);
  auto body = value::parse(response.body());
  body["outcome"] = value::string(outcome_name);
  if (answer.earlier_status > 0)
    body["earlier_status"] = value::number(answer.earlier_status);
  response.body() = body.serialize() + "\n";
  return response;
}

void LogClaimDecision(Daemon& daemon,
                      const RequestPtr& request,
                      const char* decision,
                      const std::string& detail) {
  auto fields = value::object();
  fields["decision"] = value::string(decision);
  fields["detail"] = value::string(detail);
  LogRequestDecision(daemon.decision_log, request->id.value, "claim",
                     std::move(fields));
}

void ExecuteAction(Daemon& daemon, const claim::RunNow& action) {
  const RequestPtr request = FindClaimedRequest(daemon, action.token);
  if (!request)
    return;
  LogClaimDecision(daemon, request, "run_now", "");
  StartAttempt(daemon, request);
}

void ExecuteAction(Daemon& daemon, const claim::Wait& action) {
  if (const RequestPtr request = FindClaimedRequest(daemon, action.token))
    LogClaimDecision(daemon, request, "wait", "");
}

void ExecuteAction(Daemon& daemon, const claim::RelayToDaemon& action) {
  const RequestPtr request = FindClaimedRequest(daemon, action.token);
  if (!request)
    return;
  LogClaimDecision(daemon, request, "relay", action.daemon.value);
  request->relay_has_minted_key = action.minted;
  StartRelay(daemon, request, action);
}

void ExecuteAction(Daemon& daemon, const claim::AnswerCaller& action) {
  const RequestPtr request = FindClaimedRequest(daemon, action.token);
  if (!request)
    return;
  daemon.claimed_requests.erase(action.token);
  request->claimed = false;
  LogClaimDecision(daemon, request, "answer",
                   claim::ReasonName(action.answer.reason));
  SendCompleteResponse(daemon, request,
                       RenderClaimAnswer(action.answer, request->id));
}

void ExecuteAction(Daemon& daemon, const claim::StopRun& action) {
  const RequestPtr request = FindClaimedRequest(daemon, action.token);
  if (!request)
    return;
  daemon.claimed_requests.erase(action.token);
  request->claimed = false;
  LogClaimDecision(daemon, request, "stop_run", "");
  if (request->exchange)
    request->exchange->Cancel();
  request->caller_exchange->Abort();
  EndRequest(daemon, request, "caller_gone");
}

void ExecuteAction(Daemon& daemon, const claim::SendClaim& action) {
  (void)peer::Send(*daemon.transport, action.to, proto::CLAIM,
                   claim::EncodeClaim(action.message));
}

void ExecuteAction(Daemon& daemon, const claim::SendClaimResult& action) {
  (void)peer::Send(*daemon.transport, action.to, proto::CLAIM_RESULT,
                   claim::EncodeClaimResult(action.result));
}

void ExecuteAction(Daemon& daemon, const claim::AppendBatch& action) {
  AppendToClaimLog(daemon, action);
}

void ExecuteAction(Daemon& daemon, const claim::ReadLog& action) {
  ReadClaimLog(daemon, action);
}

claim::Reason ToClaimReason(const Problem& problem) {
  if (problem.reason == "deadline_exceeded")
    return claim::Reason::kDeadlineExceeded;
  if (problem.outcome == Outcome::kNotRun)
    return claim::Reason::kNoUpstream;
  return claim::Reason::kConnectionLost;
}

}  // namespace

void ExecuteClaimActions(Daemon& daemon, const claim::Actions& actions) {
  for (const claim::Action& action : actions) {
    std::visit([&daemon](const auto& item) { ExecuteAction(daemon, item); },
               action);
  }
}

void HandleNonRepeatableRequest(Daemon& daemon, const RequestPtr& request) {
  request->claimed = true;
  request->token = {daemon.next_request_token++};
  daemon.claimed_requests[request->token] = request;
  claim::ArrivedRequest arrived_request;
  arrived_request.token = request->token;
  arrived_request.account = request->account;
  arrived_request.key =
      GetFieldValue(*request->http_request, kIdempotencyKeyField);
  arrived_request.require_key =
      daemon.services.at(request->service).policy.require_key;
  arrived_request.first_send =
      GetFieldValue(*request->http_request, kFirstSendField) == "true";
  arrived_request.relay_info = ParseRelayInfo(daemon, *request->http_request);
  ExecuteClaimActions(daemon,
                      claim::OnRequestArrived(daemon.claims, arrived_request,
                                              request->arrived_at));
}

void EndClaimedRunWithProblem(Daemon& daemon,
                              const RequestPtr& request,
                              const Problem& problem) {
  claim::RunResult result;
  result.end = problem.outcome == Outcome::kNotRun ? claim::RunEnd::kNotSent
                                                   : claim::RunEnd::kUnknown;
  result.reason = ToClaimReason(problem);
  result.status = static_cast<int>(problem.status);
  ExecuteClaimActions(
      daemon, claim::OnRunFinished(daemon.claims, request->token, result,
                                   clock::Now()));
}

void EndClaimedRunWithResponse(Daemon& daemon,
                               const RequestPtr& request,
                               const edge::HttpResponse& response) {
  claim::RunResult result;
  result.end = claim::RunEnd::kAnswered;
  result.status = static_cast<int>(response.result_int());
  if (response.body().size() <= claim::kMaxRetainedResponseBytes) {
    auto retained = std::make_shared<claim::RetainedResponse>();
    retained->status = result.status;
    retained->head = FormatHead(response);
    retained->body = response.body();
    result.response = std::move(retained);
  }
  daemon.claimed_requests.erase(request->token);
  request->claimed = false;
  ExecuteClaimActions(
      daemon, claim::OnRunFinished(daemon.claims, request->token, result,
                                   clock::Now()));
}

void EndClaimedRunAfterStream(Daemon& daemon,
                              const RequestPtr& request,
                              bool is_complete) {
  claim::RunResult result;
  result.end = is_complete ? claim::RunEnd::kAnswered : claim::RunEnd::kUnknown;
  result.reason = claim::Reason::kConnectionLost;
  result.status = static_cast<int>(request->response_header.result_int());
  daemon.claimed_requests.erase(request->token);
  request->claimed = false;
  ExecuteClaimActions(
      daemon, claim::OnRunFinished(daemon.claims, request->token, result,
                                   clock::Now()));
}

void OnRelayFailed(Daemon& daemon, const RequestPtr& request) {
  ExecuteClaimActions(daemon, claim::OnRelayFailed(
                                  daemon.claims, request->token,
                                  request->relay_has_minted_key, clock::Now()));
}

edge::HttpResponse MakeMintedKeyResponse(Daemon& daemon,
                                         const edge::HttpRequest& request) {
  const base::AccountId account{GetFieldValue(request, "Poplarfork-Account")};
  const std::string key =
      claim::MintKeyFor(daemon.claims, account, clock::Now());
  auto body = value::object();
  body["key"] = value::string(key);
  edge::HttpResponse response(http::status::created, 11);
  response.set(http::field::content_type, "application/json");
  response.set("Poplarfork-Minted-Key", key);
  response.body() = body.serialize() + "\n";
  return response;
}

}  // namespace poplarfork::daemon
