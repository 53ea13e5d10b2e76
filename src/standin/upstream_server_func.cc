#include "standin/upstream_server_func.h"

#include <charconv>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "standin/http_server_func.h"
#include "standin/monotonic_clock_func.h"
#include "standin/response_func.h"
#include "standin/upstream_control_func.h"
#include "standin/upstream_fault_func.h"
#include "standin/upstream_response_func.h"
#include "standin/upstream_state_func.h"

namespace poplarfork::standin {

namespace {

using boost::system::error_code;

std::optional<std::uint64_t> ParseUint64(const std::string& text) {
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end)
    return std::nullopt;
  return number;
}

RequestInfo ReadRequestInfo(const HttpConnection& connection) {
  RequestInfo request;
  const auto method = connection.head.method_string();
  const auto target = connection.head.target();
  request.method = {method.data(), method.size()};
  request.target = {target.data(), target.size()};
  request.request_id = HeaderValue(connection, "Poplarfork-Request-Id");
  request.idempotency_key = HeaderValue(connection, "Idempotency-Key");
  request.range = HeaderValue(connection, "Range");
  request.if_range = HeaderValue(connection, "If-Range");
  request.body_bytes = connection.body_bytes;
  request.is_generated = RequestPath(connection) == "/body";
  request.generated_bytes =
      ParseUint64(QueryValue(connection, "bytes")).value_or(0);
  request.generated_seed =
      ParseUint64(QueryValue(connection, "seed")).value_or(0);
  return request;
}

void StartQueuedJobs(const UpstreamServerPtr& upstream);

// Ends a job when it completes, reaches its deadline or is cancelled, whichever
// happens first. Returns false when the job had ended before.
bool FinishJob(const UpstreamServerPtr& upstream,
               const JobPtr& job,
               RunOutcome outcome) {
  if (std::exchange(job->is_finished, true))
    return false;
  job->service_timer.cancel();
  job->deadline_timer.cancel();
  if (job->is_running)
    CountRunOutcome(upstream->state, job->request, outcome);
  else
    std::erase(upstream->queue, job);
  return true;
}

void ReleaseSlot(const UpstreamServerPtr& upstream, const JobPtr& job) {
  if (!job->is_running)
    return;
  FreeSlot(upstream->state, Now());
  StartQueuedJobs(upstream);
}

void OnCallerDisconnected(const UpstreamServerPtr& upstream,
                          const JobPtr& job) {
  if (!job->plan.ignores_deadline &&
      FinishJob(upstream, job, RunOutcome::kCancelled))
    ReleaseSlot(upstream, job);
}

void OnDeadline(const UpstreamServerPtr& upstream, const JobPtr& job) {
  if (job->plan.ignores_deadline ||
      !FinishJob(upstream, job, RunOutcome::kExpired))
    return;
  ReleaseSlot(upstream, job);
  if (!job->plan.is_response_lost)
    SendStatusResponse(upstream, job, 504, "deadline exceeded");
}

// The run is counted as completed before its response is sent, so that a caller
// that has got the response finds the run at /control/runs.
void OnRunCompleted(const UpstreamServerPtr& upstream, const JobPtr& job) {
  FinishJob(upstream, job, RunOutcome::kCompleted);
  job->connection->on_closed = nullptr;
  if (job->plan.is_response_lost) {
    ReleaseSlot(upstream, job);
    return;
  }
  SendJobResponse(upstream, job,
                  [upstream, job]() { ReleaseSlot(upstream, job); });
}

void StartJob(const UpstreamServerPtr& upstream, const JobPtr& job) {
  job->is_running = true;
  job->plan = StartRun(upstream->state, job->request, Now());
  const auto requested_time =
      ParseUint64(QueryValue(*job->connection, "service_ms"));
  if (requested_time)
    job->plan.service_time = std::chrono::milliseconds(*requested_time);
  job->service_timer.expires_after(job->plan.service_time);
  job->service_timer.async_wait([upstream, job](error_code error) {
    if (!error && !job->is_finished)
      OnRunCompleted(upstream, job);
  });
}

void StartQueuedJobs(const UpstreamServerPtr& upstream) {
  while (!upstream->queue.empty() &&
         upstream->state.in_flight < upstream->state.options.slots) {
    const JobPtr job = upstream->queue.front();
    upstream->queue.pop_front();
    StartJob(upstream, job);
  }
}

void StartDeadlineTimer(const UpstreamServerPtr& upstream, const JobPtr& job) {
  const auto deadline_ms =
      ParseUint64(HeaderValue(*job->connection, "Poplarfork-Deadline-Ms"));
  if (!deadline_ms)
    return;
  job->deadline_timer.expires_after(std::chrono::milliseconds(*deadline_ms));
  job->deadline_timer.async_wait([upstream, job](error_code error) {
    if (!error && !job->is_finished)
      OnDeadline(upstream, job);
  });
}

void AdmitJob(const UpstreamServerPtr& upstream, const JobPtr& job) {
  UpstreamState& state = upstream->state;
  state.counts.requests_while_draining += state.draining_since ? 1 : 0;
  const bool has_free_slot = state.in_flight < state.options.slots;
  if (!has_free_slot &&
      upstream->queue.size() >= state.options.max_queued_requests) {
    state.counts.shed += 1;
    SendStatusResponse(upstream, job, 503, "no free slot");
    return;
  }
  WatchForClose(job->connection,
                [upstream, job]() { OnCallerDisconnected(upstream, job); });
  StartDeadlineTimer(upstream, job);
  if (has_free_slot)
    StartJob(upstream, job);
  else
    upstream->queue.push_back(job);
}

bool IsCrashRequest(UpstreamState& state, const HttpConnection& connection) {
  const auto crash = FindFault(state, UpstreamFaultKind::kCrash);
  if (!crash || crash->crash_header.empty())
    return false;
  const std::string value = HeaderValue(connection, crash->crash_header);
  return !value.empty() && (crash->crash_header_value.empty() ||
                            value == crash->crash_header_value);
}

// Simulates a process that crashes and is restarted: resets all connections and
// refuses new ones for the duration of the fault.
void SimulateCrash(const UpstreamServerPtr& upstream) {
  const auto fault = FindFault(upstream->state, UpstreamFaultKind::kCrash);
  upstream->state.counts.crashes += 1;
  upstream->queue.clear();
  StopAccepting(*upstream->server);
  ResetConnections(*upstream->server);
  upstream->restart_timer.expires_after(fault->duration);
  upstream->restart_timer.async_wait([upstream](error_code error) {
    if (error)
      return;
    upstream->state.started_at = Now();
    ResumeAccepting(upstream->server);
  });
}

void HandleServiceRequest(const UpstreamServerPtr& upstream,
                          const HttpConnectionPtr& connection) {
  UpstreamState& state = upstream->state;
  state.counts.requests += 1;
  auto job = std::make_shared<Job>(upstream->server->executor);
  job->connection = connection;
  job->request = ReadRequestInfo(*connection);
  if (IsCrashRequest(state, *connection)) {
    // The request is counted as a run, because it was the cause of the crash.
    StartRun(state, job->request, Now());
    CountRunOutcome(state, job->request, RunOutcome::kCancelled);
    FreeSlot(state, Now());
    SimulateCrash(upstream);
    return;
  }
  if (TriggerFault(state, UpstreamFaultKind::kHang, job->request.target)) {
    state.counts.hung_requests += 1;
    WatchForClose(connection, {});
    return;
  }
  AdmitJob(upstream, job);
}

// Responds to GET /healthz or GET /load. The fault "one_way_silence" loses
// these responses too, because a network that is cut in one direction loses all
// responses.
void HandleProbe(const UpstreamServerPtr& upstream,
                 const HttpConnectionPtr& connection,
                 bool is_health) {
  UpstreamState& state = upstream->state;
  state.counts.health_calls += is_health ? 1 : 0;
  state.counts.load_calls += is_health ? 0 : 1;
  if (FindFault(state, UpstreamFaultKind::kLostResponses)) {
    WatchForClose(connection, {});
    return;
  }
  using web::json::value;
  value json = value::object();
  const unsigned status = is_health ? ComputeReportedHealth(state, Now()) : 200;
  if (is_health)
    json["healthy"] = value::boolean(status == 200);
  else
    json["load"] = value::number(ComputeReportedLoad(state, Now()));
  json["slots"] = value::number(std::uint64_t{state.options.slots});
  Response response = MakeJsonResponse(status, json);
  response.headers = CommonHeaders(state, ReadRequestInfo(*connection));
  response.headers.push_back({"Digest", MakeDigestHeader(response.body)});
  SendResponse(connection, response);
}

void OnRequest(const UpstreamServerPtr& upstream,
               const HttpConnectionPtr& connection) {
  const std::string_view path = RequestPath(*connection);
  if (path.starts_with("/control/"))
    HandleControlRequest(upstream, connection);
  else if (path == "/healthz" || path == "/load")
    HandleProbe(upstream, connection, path == "/healthz");
  else
    HandleServiceRequest(upstream, connection);
}

}  // namespace

UpstreamServerPtr StartUpstream(const boost::asio::any_io_executor& loop,
                                const boost::asio::ip::tcp::endpoint& endpoint,
                                const UpstreamOptions& options) {
  auto upstream = std::make_shared<UpstreamServer>(loop);
  HttpServerOptions server_options;
  server_options.endpoint = endpoint;
  server_options.max_connections = options.max_connections;
  upstream->server = StartHttpServer(
      loop, server_options, [upstream](const HttpConnectionPtr& connection) {
        OnRequest(upstream, connection);
      });
  upstream->state =
      MakeUpstreamState(ListeningAddress(*upstream->server), options, Now());
  return upstream;
}

void StopUpstream(UpstreamServer& upstream) {
  upstream.restart_timer.cancel();
  StopHttpServer(*upstream.server);
}

}  // namespace poplarfork::standin
