#include "standin/upstream_control_func.h"

#include <string_view>

#include "standin/http_server_func.h"
#include "standin/json_func.h"
#include "standin/monotonic_clock_func.h"
#include "standin/response_func.h"
#include "standin/upstream_fault_func.h"
#include "standin/upstream_state_func.h"

namespace poplarfork::standin {

namespace {

using web::json::value;

base::Result<void> ApplyFaultCommand(UpstreamServer& upstream,
                                     const HttpConnectionPtr& connection,
                                     const value& command) {
  const std::string kind = StringMember(command, "kind", "");
  UpstreamState& state = upstream.state;
  if (!JsonMember(command, "seed").is_null())
    state.rng.seed(Uint64Member(command, "seed", 1));
  if (kind == "none") {
    state.faults.clear();
    state.draining_since.reset();
  } else if (kind == "drain") {
    state.draining_since = Now();
  } else if (kind == "cold") {
    state.started_at = Now();
  } else if (kind == "silent_connections") {
    // The command's own connection is excluded, so that the command gets its
    // response.
    SilenceConnections(*upstream.server, connection);
  } else {
    BOOST_OUTCOME_TRY(fault, ReadUpstreamFault(command));
    AddFault(state, fault);
  }
  return boost::outcome_v2::success();
}

base::Result<void> HandleFaultCommand(UpstreamServer& upstream,
                                      const HttpConnectionPtr& connection) {
  BOOST_OUTCOME_TRY(command, ParseJsonObject(connection->body));
  return ApplyFaultCommand(upstream, connection, command);
}

value MakeRunsJson(const UpstreamState& state,
                   const HttpConnection& connection) {
  const std::string key = QueryValue(connection, "key");
  if (!key.empty())
    return RunsOfKeyJson(state, key);
  return RunsJson(state, QueryValue(connection, "repeated") == "1");
}

value MakeCountsJson(const UpstreamServer& upstream) {
  const HttpServer& server = *upstream.server;
  value json = UpstreamCountsJson(upstream.state);
  json["accepted"] = value::number(server.accepted_connections);
  json["over_cap"] = value::number(server.rejected_connections);
  json["connections"] = value::number(std::uint64_t{server.connections.size()});
  json["queued"] = value::number(std::uint64_t{upstream.queue.size()});
  return json;
}

}  // namespace

void HandleControlRequest(const UpstreamServerPtr& upstream,
                          const HttpConnectionPtr& connection) {
  const std::string_view path = RequestPath(*connection);
  if (path == "/control/fault")
    SendResponse(connection, MakeCommandResponse(
                                 HandleFaultCommand(*upstream, connection)));
  else if (path == "/control/runs")
    SendResponse(connection, MakeJsonResponse(200, MakeRunsJson(upstream->state,
                                                                *connection)));
  else if (path == "/control/counts")
    SendResponse(connection, MakeJsonResponse(200, MakeCountsJson(*upstream)));
  else
    SendResponse(connection, MakeNotFoundResponse());
}

}  // namespace poplarfork::standin
