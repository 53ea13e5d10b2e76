#include "request/attempt_func.h"

#include <algorithm>

#include "request/result_func.h"
#include "request/slot_request_func.h"

namespace poplarfork::request {

namespace {

using dispatch::Outcome;

// Number of failed connections after which a request fails. Nothing has been
// sent on them, so they do not count as retries.
constexpr std::uint32_t kMaxFailedConnections = 8;
// Another attempt is not worth its slot unless at least this much time is left.
constexpr base::Duration kMinAttemptTime = std::chrono::milliseconds(60);

dispatch::AttemptReport MakeReport(const Attempt& attempt, Outcome outcome) {
  dispatch::AttemptReport report;
  report.attempt_id = attempt.id;
  report.upstream = attempt.upstream;
  report.outcome = outcome;
  return report;
}

// Returns what giving up an attempt tells the dispatcher about its upstream.
Outcome CancelOutcome(const Attempt& attempt, CancelCause cause) {
  // A hedge that is given up may have been started a moment ago. Its dispatcher
  // judges by its age whether the upstream was slow.
  return cause == CancelCause::kDeadline && !attempt.is_hedge
             ? Outcome::kStalled
             : Outcome::kCancelled;
}

}  // namespace

const Attempt* FindAttempt(const Request& request, dispatch::AttemptId id) {
  const auto found =
      std::find_if(request.attempts.begin(), request.attempts.end(),
                   [id](const Attempt& attempt) { return attempt.id == id; });
  return found == request.attempts.end() ? nullptr : &*found;
}

void BeginAttempt(Request& request,
                  const base::DaemonId& from,
                  const dispatch::Grant& grant,
                  base::TimePoint now,
                  Actions& actions) {
  Attempt attempt;
  attempt.id = grant.attempt_id;
  attempt.dispatcher = from;
  attempt.upstream = grant.upstream;
  attempt.address = grant.address;
  attempt.started_at = now;
  attempt.waited = grant.waited;
  attempt.retry_at = now + grant.retry_after;
  if (grant.hedge_after > base::Duration(0))
    attempt.hedge_at = now + grant.hedge_after;
  attempt.is_hedge = request.slot_request_is_hedge;
  request.attempts.push_back(attempt);
  ++request.sends;
  request.hedge_counts.granted += attempt.is_hedge ? 1 : 0;
  actions.push_back(
      StartAttempt{attempt, TimeLeft(request.arrival.deadline, now)});
}

void FinishAttempt(Request& request, const AttemptEnd& end, Actions& actions) {
  const auto found = std::find_if(
      request.attempts.begin(), request.attempts.end(),
      [&end](const Attempt& attempt) { return attempt.id == end.attempt_id; });
  const Outcome outcome = ToOutcome(end.result);
  dispatch::AttemptReport report = MakeReport(*found, outcome);
  report.duration = end.duration;
  report.has_reported_load = end.has_reported_load;
  report.reported_load = end.reported_load;
  report.notice = end.notice;
  actions.push_back(SendAttemptReport{found->dispatcher, report});
  if (outcome != Outcome::kServed)
    AvoidUpstream(request, found->upstream);
  request.possible_runs += MayHaveRun(outcome) ? 1 : 0;
  request.last_result = end.result;
  if (outcome == Outcome::kServed && found->is_hedge)
    ++request.hedge_counts.won;
  request.attempts.erase(found);
}

void CancelAttempts(Request& request,
                    CancelCause cause,
                    base::TimePoint now,
                    Actions& actions) {
  for (const Attempt& attempt : request.attempts) {
    actions.push_back(CancelAttempt{attempt.id});
    dispatch::AttemptReport report =
        MakeReport(attempt, CancelOutcome(attempt, cause));
    if (cause != CancelCause::kCallerDisconnected)
      report.duration = now - attempt.started_at;
    actions.push_back(SendAttemptReport{attempt.dispatcher, report});
    AvoidUpstream(request, attempt.upstream);
    ++request.possible_runs;
  }
  request.attempts.clear();
}

void ReportStalls(Request& request, base::TimePoint now, Actions& actions) {
  for (Attempt& attempt : request.attempts) {
    if (attempt.stall_reported || attempt.retry_at > now)
      continue;
    attempt.stall_reported = true;
    dispatch::AttemptReport report =
        MakeReport(attempt, Outcome::kStillRunning);
    report.duration = now - attempt.started_at;
    actions.push_back(SendAttemptReport{attempt.dispatcher, report});
  }
}

void AvoidUpstream(Request& request, const base::UpstreamId& upstream) {
  std::erase(request.avoid, upstream);
  request.avoid.push_back(upstream);
}

bool MayRetry(const Request& request,
              AttemptResult result,
              base::TimePoint now) {
  if (!HasTimeForAttempt(request, now))
    return false;
  if (IsNotSent(result))
    return MayConnectAgain(request);
  if (request.sends >= request.arrival.max_attempts)
    return false;
  if (result == AttemptResult::kNotRun || result == AttemptResult::kMisdirected)
    return true;
  return request.arrival.work_class.repeatable;
}

bool HasTimeForAttempt(const Request& request, base::TimePoint now) {
  return request.arrival.deadline - now >= kMinAttemptTime;
}

bool MayConnectAgain(const Request& request) {
  return request.failed_connections < kMaxFailedConnections;
}

}  // namespace poplarfork::request
