#include "standin/upstream_server_func.h"

#include <charconv>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "standin/control_func.h"
#include "standin/http_server_func.h"
#include "standin/loop_time_func.h"
#include "standin/upstream_answer_func.h"
#include "standin/upstream_control_func.h"
#include "standin/upstream_fault_func.h"
#include "standin/upstream_state_func.h"

namespace poplarfork::standin {

namespace {

using boost::system::error_code;

std::optional<std::uint64_t> ReadNumber(const std::string& text) {
  std::uint64_t number = 0;
  const char* const last = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), last, number);
  if (parsed.ec != std::errc() || parsed.ptr != last)
    return std::nullopt;
  return number;
}

AnswerSource ReadSource(const HttpConnection& connection) {
  AnswerSource source;
  const auto method = connection.head.method_string();
  const auto target = connection.head.target();
  source.method = {method.data(), method.size()};
  source.target = {target.data(), target.size()};
  source.request_id = HeaderValue(connection, "Poplarfork-Request-Id");
  source.idempotency_key = HeaderValue(connection, "Idempotency-Key");
  source.range = HeaderValue(connection, "Range");
  source.if_range = HeaderValue(connection, "If-Range");
  source.body_bytes = connection.body_bytes;
  source.is_generated = RequestPath(connection) == "/body";
  source.generated_bytes =
      ReadNumber(QueryValue(connection, "bytes")).value_or(0);
  source.generated_seed =
      ReadNumber(QueryValue(connection, "seed")).value_or(0);
  return source;
}

void StartQueued(const UpstreamServerPtr& upstream);

// Ends a job when it completes, reaches its deadline or is cancelled, whichever
// happens first. Returns false when the job had ended before.
bool EndJob(const UpstreamServerPtr& upstream, const JobPtr& job, RunEnd end) {
  if (std::exchange(job->is_finished, true))
    return false;
  job->work_timer.cancel();
  job->deadline_timer.cancel();
  if (job->is_running)
    CountEnd(upstream->state, job->source, end);
  else
    std::erase(upstream->queue, job);
  return true;
}

void Release(const UpstreamServerPtr& upstream, const JobPtr& job) {
  if (!job->is_running)
    return;
  FreeSlot(upstream->state, Now());
  StartQueued(upstream);
}

void OnCancelled(const UpstreamServerPtr& upstream, const JobPtr& job) {
  if (!job->plan.is_late && EndJob(upstream, job, RunEnd::kCancelled))
    Release(upstream, job);
}

void OnDeadline(const UpstreamServerPtr& upstream, const JobPtr& job) {
  if (job->plan.is_late || !EndJob(upstream, job, RunEnd::kExpired))
    return;
  Release(upstream, job);
  if (!job->plan.is_never_answered)
    SendStatus(upstream, job, 504, "deadline exceeded");
}

// The run is counted as completed before its response is sent, so that a caller
// that has got the response finds the run at /control/runs.
void OnWorkDone(const UpstreamServerPtr& upstream, const JobPtr& job) {
  EndJob(upstream, job, RunEnd::kCompleted);
  job->connection->on_closed = nullptr;
  if (job->plan.is_never_answered) {
    Release(upstream, job);
    return;
  }
  SendAnswer(upstream, job, [upstream, job]() { Release(upstream, job); });
}

void StartJob(const UpstreamServerPtr& upstream, const JobPtr& job) {
  job->is_running = true;
  job->plan = StartRun(upstream->state, job->source, Now());
  const auto own_time = ReadNumber(QueryValue(*job->connection, "service_ms"));
  if (own_time)
    job->plan.work = std::chrono::milliseconds(*own_time);
  job->work_timer.expires_after(job->plan.work);
  job->work_timer.async_wait([upstream, job](error_code error) {
    if (!error && !job->is_finished)
      OnWorkDone(upstream, job);
  });
}

void StartQueued(const UpstreamServerPtr& upstream) {
  while (!upstream->queue.empty() &&
         upstream->state.in_flight < upstream->state.options.slots) {
    const JobPtr job = upstream->queue.front();
    upstream->queue.pop_front();
    StartJob(upstream, job);
  }
}

void WatchDeadline(const UpstreamServerPtr& upstream, const JobPtr& job) {
  const auto deadline =
      ReadNumber(HeaderValue(*job->connection, "Poplarfork-Deadline-Ms"));
  if (!deadline)
    return;
  job->deadline_timer.expires_after(std::chrono::milliseconds(*deadline));
  job->deadline_timer.async_wait([upstream, job](error_code error) {
    if (!error && !job->is_finished)
      OnDeadline(upstream, job);
  });
}

void Admit(const UpstreamServerPtr& upstream, const JobPtr& job) {
  UpstreamState& state = upstream->state;
  state.counts.while_draining += state.draining_since ? 1 : 0;
  const bool has_slot = state.in_flight < state.options.slots;
  if (!has_slot && upstream->queue.size() >= state.options.queue_limit) {
    state.counts.shed += 1;
    SendStatus(upstream, job, 503, "no free slot");
    return;
  }
  WatchForClose(job->connection,
                [upstream, job]() { OnCancelled(upstream, job); });
  WatchDeadline(upstream, job);
  if (has_slot)
    StartJob(upstream, job);
  else
    upstream->queue.push_back(job);
}

bool IsCrashRequest(UpstreamState& state, const HttpConnection& connection) {
  const auto crash = FindFault(state, UpstreamFaultKind::kCrash);
  if (!crash || crash->header.empty())
    return false;
  const std::string value = HeaderValue(connection, crash->header);
  return !value.empty() &&
         (crash->header_value.empty() || value == crash->header_value);
}

// Simulates a process that crashes and is restarted: resets all connections and
// refuses new ones for the duration of the fault.
void Crash(const UpstreamServerPtr& upstream) {
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

void HandleWork(const UpstreamServerPtr& upstream,
                const ConnectionPtr& connection) {
  UpstreamState& state = upstream->state;
  state.counts.requests += 1;
  auto job = std::make_shared<Job>(upstream->server->executor);
  job->connection = connection;
  job->source = ReadSource(*connection);
  if (IsCrashRequest(state, *connection)) {
    // The request is counted as a run, because it was the cause of the crash.
    StartRun(state, job->source, Now());
    CountEnd(state, job->source, RunEnd::kCancelled);
    FreeSlot(state, Now());
    Crash(upstream);
    return;
  }
  if (TakeFault(state, UpstreamFaultKind::kHang, job->source.target)) {
    state.counts.hung += 1;
    WatchForClose(connection, {});
    return;
  }
  Admit(upstream, job);
}

// Responds to GET /healthz or GET /load. The fault "one_way_silence" loses
// these responses too, because a network that is cut in one direction loses all
// responses.
void HandleProbe(const UpstreamServerPtr& upstream,
                 const ConnectionPtr& connection,
                 bool is_health) {
  UpstreamState& state = upstream->state;
  state.counts.health_calls += is_health ? 1 : 0;
  state.counts.load_calls += is_health ? 0 : 1;
  if (FindFault(state, UpstreamFaultKind::kOneWaySilence)) {
    WatchForClose(connection, {});
    return;
  }
  using web::json::value;
  value json = value::object();
  const unsigned status = is_health ? ShownHealth(state, Now()) : 200;
  if (is_health)
    json["healthy"] = value::boolean(status == 200);
  else
    json["load"] = value::number(ShownLoad(state, Now()));
  json["slots"] = value::number(std::uint64_t{state.options.slots});
  Reply reply = JsonReply(status, json);
  reply.headers = CommonHeaders(state, ReadSource(*connection));
  reply.headers.push_back({"Digest", TextDigest(reply.body)});
  SendReply(connection, reply);
}

void OnRequest(const UpstreamServerPtr& upstream,
               const ConnectionPtr& connection) {
  const std::string_view path = RequestPath(*connection);
  if (path.starts_with("/control/"))
    HandleControl(upstream, connection);
  else if (path == "/healthz" || path == "/load")
    HandleProbe(upstream, connection, path == "/healthz");
  else
    HandleWork(upstream, connection);
}

}  // namespace

UpstreamServerPtr StartUpstream(const boost::asio::any_io_executor& loop,
                                const boost::asio::ip::tcp::endpoint& endpoint,
                                const UpstreamOptions& options) {
  auto upstream = std::make_shared<UpstreamServer>(loop);
  HttpServerOptions server_options;
  server_options.endpoint = endpoint;
  server_options.connection_cap = options.connection_cap;
  upstream->server = StartServer(loop, server_options,
                                 [upstream](const ConnectionPtr& connection) {
                                   OnRequest(upstream, connection);
                                 });
  upstream->state =
      MakeUpstreamState(ServerAddress(*upstream->server), options, Now());
  return upstream;
}

void StopUpstream(UpstreamServer& upstream) {
  upstream.restart_timer.cancel();
  StopServer(*upstream.server);
}

}  // namespace poplarfork::standin
