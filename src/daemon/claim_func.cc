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
#include "daemon/answer_func.h"
#include "daemon/attempt_func.h"
#include "daemon/claim_store_func.h"
#include "daemon/decision_log_func.h"
#include "daemon/problem_func.h"
#include "daemon/relay_func.h"
#include "peer/transport_func.h"

namespace poplarfork::daemon {

namespace {

namespace http = boost::beast::http;
using web::json::value;

constexpr char kKeyField[] = "Idempotency-Key";
constexpr char kFirstSendField[] = "Poplarfork-First-Send";

std::string FieldText(const edge::HttpRequest& request, const char* name) {
  const auto field = request[name];
  return {field.data(), field.size()};
}

RequestPtr FindClaimed(Daemon& daemon, claim::RequestToken token) {
  const auto found = daemon.claimed.find(token);
  return found == daemon.claimed.end() ? nullptr : found->second;
}

// Returns the header lines of a response to retain: "Name: value", each with
// CRLF at its end.
std::string HeadOf(const edge::HttpResponse& response) {
  std::string head;
  for (const auto& field : response.base()) {
    head.append(field.name_string().data(), field.name_string().size());
    head += ": ";
    head.append(field.value().data(), field.value().size());
    head += "\r\n";
  }
  return head;
}

void SetFieldsFrom(edge::HttpResponse& response, std::string_view head) {
  while (!head.empty()) {
    const std::size_t end = head.find("\r\n");
    const std::string_view line = head.substr(0, end);
    const std::size_t colon = line.find(": ");
    const std::string_view name = line.substr(0, colon);
    const std::string_view text = line.substr(colon + 2);
    response.set(boost::beast::string_view(name.data(), name.size()),
                 boost::beast::string_view(text.data(), text.size()));
    head.remove_prefix(end + 2);
  }
}

edge::HttpResponse RenderKept(const claim::Answer& answer,
                              const base::RequestId& request) {
  edge::HttpResponse response(
      static_cast<http::status>(answer.response->status), 11);
  SetFieldsFrom(response, answer.response->head);
  response.set("Poplarfork-Request-Id", request.value);
  response.set("Poplarfork-Repeated", "true");
  response.body() = answer.response->body;
  return response;
}

edge::HttpResponse RenderAnswer(const claim::Answer& answer,
                                const base::RequestId& request) {
  if (answer.response)
    return RenderKept(answer, request);
  Problem problem;
  problem.status = static_cast<http::status>(answer.status);
  problem.reason = claim::ReasonName(answer.reason);
  problem.retry_after = answer.retry_after;
  edge::HttpResponse response = RenderProblem(problem, request);
  const std::string outcome = claim::OutcomeName(answer.outcome);
  response.set("Poplarfork-Outcome", outcome);
  if (!answer.minted_key.empty())
    response.set("Poplarfork-Minted-Key", answer.minted_key);
  auto body = value::parse(response.body());
  body["outcome"] = value::string(outcome);
  if (answer.earlier_status > 0)
    body["earlier_status"] = value::number(answer.earlier_status);
  response.body() = body.serialize() + "\n";
  return response;
}

void LogClaim(Daemon& daemon,
              const RequestPtr& request,
              const char* decision,
              const std::string& detail) {
  auto fields = value::object();
  fields["decision"] = value::string(decision);
  fields["detail"] = value::string(detail);
  LogRequestDecision(daemon.decisions, request->id.value, "claim",
                     std::move(fields));
}

void CarryOut(Daemon& daemon, const claim::RunNow& action) {
  const RequestPtr request = FindClaimed(daemon, action.token);
  if (!request)
    return;
  LogClaim(daemon, request, "run_now", "");
  StartAttempt(daemon, request);
}

void CarryOut(Daemon& daemon, const claim::Wait& action) {
  if (const RequestPtr request = FindClaimed(daemon, action.token))
    LogClaim(daemon, request, "wait", "");
}

void CarryOut(Daemon& daemon, const claim::RelayToDaemon& action) {
  const RequestPtr request = FindClaimed(daemon, action.token);
  if (!request)
    return;
  LogClaim(daemon, request, "relay", action.daemon.value);
  request->relay_minted = action.minted;
  StartRelay(daemon, request, action);
}

void CarryOut(Daemon& daemon, const claim::AnswerCaller& action) {
  const RequestPtr request = FindClaimed(daemon, action.token);
  if (!request)
    return;
  daemon.claimed.erase(action.token);
  request->claimed = false;
  LogClaim(daemon, request, "answer", claim::ReasonName(action.answer.reason));
  AnswerWhole(daemon, request, RenderAnswer(action.answer, request->id));
}

void CarryOut(Daemon& daemon, const claim::StopRun& action) {
  const RequestPtr request = FindClaimed(daemon, action.token);
  if (!request)
    return;
  daemon.claimed.erase(action.token);
  request->claimed = false;
  LogClaim(daemon, request, "stop_run", "");
  if (request->exchange)
    request->exchange->Cancel();
  request->session->Abort();
  EndRequest(daemon, request, "caller_gone");
}

void CarryOut(Daemon& daemon, const claim::SendClaim& action) {
  (void)peer::Send(*daemon.transport, action.to, proto::CLAIM,
                   claim::EncodeClaim(action.message));
}

void CarryOut(Daemon& daemon, const claim::SendClaimResult& action) {
  (void)peer::Send(*daemon.transport, action.to, proto::CLAIM_RESULT,
                   claim::EncodeClaimResult(action.result));
}

void CarryOut(Daemon& daemon, const claim::AppendBatch& action) {
  AppendClaims(daemon, action);
}

void CarryOut(Daemon& daemon, const claim::ReadLog& action) {
  ReadClaims(daemon, action);
}

claim::Reason ReasonOf(const Problem& problem) {
  if (problem.reason == "deadline_exceeded")
    return claim::Reason::kDeadlineExceeded;
  if (problem.outcome == Outcome::kNotRun)
    return claim::Reason::kNoUpstream;
  return claim::Reason::kConnectionLost;
}

}  // namespace

void CarryOutClaims(Daemon& daemon, const claim::Actions& actions) {
  for (const claim::Action& action : actions) {
    std::visit([&daemon](const auto& item) { CarryOut(daemon, item); }, action);
  }
}

void ArriveAtClaims(Daemon& daemon, const RequestPtr& request) {
  request->claimed = true;
  request->token = {daemon.next_token++};
  daemon.claimed[request->token] = request;
  claim::ArrivedRequest arrived;
  arrived.token = request->token;
  arrived.account = request->account;
  arrived.key = FieldText(*request->http, kKeyField);
  arrived.require_key = daemon.services.at(request->service).policy.require_key;
  arrived.first_send = FieldText(*request->http, kFirstSendField) == "true";
  arrived.relay_info = RelayInfoOf(daemon, *request->http);
  CarryOutClaims(daemon, claim::OnRequestArrived(daemon.claims, arrived,
                                                 request->arrived));
}

void EndClaimedRun(Daemon& daemon,
                   const RequestPtr& request,
                   const Problem& problem) {
  claim::RunResult outcome;
  outcome.end = problem.outcome == Outcome::kNotRun ? claim::RunEnd::kNotSent
                                                    : claim::RunEnd::kUnknown;
  outcome.reason = ReasonOf(problem);
  outcome.status = static_cast<int>(problem.status);
  CarryOutClaims(daemon, claim::OnRunFinished(daemon.claims, request->token,
                                              outcome, clock::Now()));
}

void KeepClaimedResponse(Daemon& daemon,
                         const RequestPtr& request,
                         const edge::HttpResponse& response) {
  claim::RunResult outcome;
  outcome.end = claim::RunEnd::kAnswered;
  outcome.status = static_cast<int>(response.result_int());
  if (response.body().size() <= claim::kMaxRetainedResponseBytes) {
    auto kept = std::make_shared<claim::RetainedResponse>();
    kept->status = outcome.status;
    kept->head = HeadOf(response);
    kept->body = response.body();
    outcome.response = std::move(kept);
  }
  daemon.claimed.erase(request->token);
  request->claimed = false;
  CarryOutClaims(daemon, claim::OnRunFinished(daemon.claims, request->token,
                                              outcome, clock::Now()));
}

void EndClaimedStream(Daemon& daemon, const RequestPtr& request, bool whole) {
  claim::RunResult outcome;
  outcome.end = whole ? claim::RunEnd::kAnswered : claim::RunEnd::kUnknown;
  outcome.reason = claim::Reason::kConnectionLost;
  outcome.status = static_cast<int>(request->header.result_int());
  daemon.claimed.erase(request->token);
  request->claimed = false;
  CarryOutClaims(daemon, claim::OnRunFinished(daemon.claims, request->token,
                                              outcome, clock::Now()));
}

void OnRelayFailed(Daemon& daemon, const RequestPtr& request) {
  CarryOutClaims(daemon,
                 claim::OnRelayFailed(daemon.claims, request->token,
                                      request->relay_minted, clock::Now()));
}

edge::HttpResponse MintKey(Daemon& daemon, const edge::HttpRequest& request) {
  const base::AccountId account{FieldText(request, "Poplarfork-Account")};
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
