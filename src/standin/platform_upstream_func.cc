#include "standin/platform_upstream_func.h"

#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "standin/http_server_func.h"

namespace poplarfork::standin {

namespace {

using Fault = PlatformUpstreamFault;

constexpr unsigned kMisdirectedStatus = 421;

Response MakeResponse(const PlatformUpstream& upstream,
                      const std::string& request_id,
                      unsigned status) {
  Response response;
  response.status = status;
  response.content_type = "application/octet-stream";
  response.headers = {{"Attempt-Id", request_id},
                      {"Instance-Id", upstream.instance_id},
                      {"Backend-Load", "0,0,4"}};
  if (upstream.is_leaving)
    response.headers.push_back({"Server-Leaving", "1"});
  if (!upstream.rate_limit.empty())
    response.headers.push_back({"Server-Limit", upstream.rate_limit});
  return response;
}

Response MakeRefusal(const PlatformUpstream& upstream,
                     const std::string& request_id) {
  Response response = MakeResponse(upstream, request_id, 503);
  response.headers.push_back({"Not-Executed", "1"});
  if (!upstream.retry_after.empty())
    response.headers.push_back({"Retry-After", upstream.retry_after});
  return response;
}

void SendTruncatedBody(const HttpConnectionPtr& connection,
                       const std::string& request_id) {
  SendBytes(connection,
            "HTTP/1.1 200 OK\r\nAttempt-Id: " + request_id +
                "\r\nResponse-Signature: s\r\nContent-Length: 100\r\n\r\nhalf",
            [connection](bool) { CloseConnection(connection); });
}

void SendStatusLine(const PlatformUpstream& upstream,
                    const HttpConnectionPtr& connection,
                    const std::string& request_id) {
  SendBytes(connection,
            upstream.status_line + "\r\nAttempt-Id: " + request_id +
                "\r\nResponse-Signature: s\r\nContent-Length: 4\r\n\r\nbody",
            [connection](bool) { CloseConnection(connection); });
}

void RespondToRun(const PlatformUpstream& upstream,
                  const HttpConnectionPtr& connection,
                  const std::string& request_id) {
  Response response = MakeResponse(upstream, request_id, 200);
  response.body = "answer to " + request_id;
  switch (upstream.fault) {
    case Fault::kError:
      response.status = 500;
      break;
    case Fault::kReset:
      ResetConnection(connection);
      return;
    case Fault::kTruncatedBody:
      SendTruncatedBody(connection, request_id);
      return;
    case Fault::kWrongRequestId:
      response.headers[0].value = "another";
      break;
    case Fault::kUnavailableWithoutPromise:
      response.status = 503;
      break;
    case Fault::kDuplicateResponse:
      SendBytes(connection,
                "HTTP/1.1 200 OK\r\nAttempt-Id: " + request_id +
                    "\r\nResponse-Signature: s\r\nContent-Length: 3\r\n\r\nall"
                    "HTTP/1.1 200 OK\r\nAttempt-Id: " +
                    request_id +
                    "\r\nResponse-Signature: s\r\nContent-Length: 5\r\n\r\n"
                    "extra",
                [connection](bool) { FinishResponse(connection); });
      return;
    case Fault::kStatusLine:
      SendStatusLine(upstream, connection, request_id);
      return;
    case Fault::kRepeatedRefusal:
      SendResponse(connection,
                   MakeRefusal(upstream, upstream.refused_request_id));
      return;
    case Fault::kNone:
    case Fault::kShed:
    case Fault::kHang:
    case Fault::kUnsigned:
      break;
  }
  if (upstream.fault != Fault::kUnsigned)
    response.headers.push_back(
        {"Response-Signature", "s." + upstream.instance_id});
  SendResponse(connection, response);
}

void Crash(PlatformUpstream& upstream) {
  upstream.has_crashed = true;
  if (!upstream.is_silent_after_crash)
    StopAccepting(*upstream.server);
  ResetConnections(*upstream.server);
  if (upstream.on_crash)
    upstream.on_crash(upstream);
}

void StartRequestRun(const PlatformUpstreamPtr& upstream,
                     const HttpConnectionPtr& connection,
                     const std::string& request_id) {
  ++upstream->run_counts[request_id];
  upstream->last_run_head = connection->head;
  auto is_disconnected = std::make_shared<bool>(false);
  WatchForClose(connection, [upstream, is_disconnected] {
    *is_disconnected = true;
    ++upstream->abandoned_runs;
  });
  if (!upstream->crash_path.empty() &&
      RequestPath(*connection) == upstream->crash_path) {
    Crash(*upstream);
    return;
  }
  const bool is_taken_over =
      upstream->on_run && upstream->on_run(connection, request_id);
  if (is_taken_over || upstream->fault == Fault::kHang)
    return;
  auto timer = std::make_shared<boost::asio::steady_timer>(upstream->executor);
  timer->expires_after(upstream->service_time);
  timer->async_wait([upstream, connection, request_id, is_disconnected,
                     timer](boost::system::error_code error) {
    if (!error && !*is_disconnected)
      RespondToRun(*upstream, connection, request_id);
  });
}

void OnRequest(const PlatformUpstreamPtr& upstream,
               const HttpConnectionPtr& connection) {
  const std::string request_id = HeaderValue(*connection, "Attempt-Id");
  ++upstream->request_count;
  upstream->arrivals.push_back(std::chrono::steady_clock::now());
  if (upstream->has_crashed)
    return;
  if (RequestPath(*connection) == "/health") {
    SendResponse(connection, MakeResponse(*upstream, request_id, 200));
    return;
  }
  if (HeaderValue(*connection, "Target-Instance") != upstream->instance_id) {
    SendResponse(connection,
                 MakeResponse(*upstream, request_id, kMisdirectedStatus));
    return;
  }
  upstream->last_deadline_ms = HeaderValue(*connection, "Deadline-Ms");
  const bool is_refused = upstream->fault == Fault::kShed ||
                          upstream->refusals_left > 0 ||
                          (upstream->fault == Fault::kRepeatedRefusal &&
                           upstream->refused_request_id.empty());
  if (is_refused) {
    upstream->refusals_left -= upstream->refusals_left > 0 ? 1 : 0;
    upstream->refused_request_id = request_id;
    SendResponse(connection, MakeRefusal(*upstream, request_id));
    return;
  }
  StartRequestRun(upstream, connection, request_id);
}

}  // namespace

PlatformUpstreamPtr StartPlatformUpstream(
    const boost::asio::any_io_executor& loop,
    const boost::asio::ip::tcp::endpoint& endpoint,
    const std::string& id,
    base::Duration service_time) {
  auto upstream = std::make_shared<PlatformUpstream>(loop);
  upstream->instance_id = id;
  upstream->service_time = service_time;
  HttpServerOptions options;
  options.endpoint = endpoint;
  std::weak_ptr<PlatformUpstream> weak_upstream = upstream;
  upstream->server = StartHttpServer(
      loop, options, [weak_upstream](const HttpConnectionPtr& connection) {
        if (const auto live_upstream = weak_upstream.lock())
          OnRequest(live_upstream, connection);
      });
  upstream->address = ListeningAddress(*upstream->server);
  return upstream;
}

void RestartPlatformUpstream(PlatformUpstream& upstream,
                             const std::string& new_id) {
  upstream.instance_id = new_id;
  upstream.has_crashed = false;
  ResetConnections(*upstream.server);
  if (!upstream.is_silent_after_crash)
    ResumeAccepting(upstream.server);
}

std::string MakePlatformUpstreamEntry(const PlatformUpstream& upstream,
                                      const std::string& service,
                                      const std::string& state,
                                      std::uint64_t sequence) {
  return nlohmann::json{{"service", service},   {"address", upstream.address},
                        {"zone", "a"},          {"version", "v1"},
                        {"slots", 4},           {"state", state},
                        {"warmupLeft", "0ms"},  {"sequence", sequence},
                        {"born", 1700000000000}}
      .dump();
}

}  // namespace poplarfork::standin
