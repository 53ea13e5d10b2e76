#include "standin/upstream_control_func.h"

#include <string_view>

#include "standin/control_func.h"
#include "standin/http_server_func.h"
#include "standin/json_func.h"
#include "standin/loop_time_func.h"
#include "standin/upstream_fault_func.h"
#include "standin/upstream_state_func.h"

namespace poplarfork::standin {

namespace {

using web::json::value;

base::Result<void> ApplyCommand(UpstreamServer& upstream,
                                const ConnectionPtr& connection,
                                const value& command) {
  const std::string kind = TextMember(command, "kind", "");
  UpstreamState& state = upstream.state;
  if (!Member(command, "seed").is_null())
    state.rng.seed(CountMember(command, "seed", 1));
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

base::Result<void> HandleFault(UpstreamServer& upstream,
                               const ConnectionPtr& connection) {
  BOOST_OUTCOME_TRY(command, ParseObject(connection->body));
  return ApplyCommand(upstream, connection, command);
}

value RunsAnswer(const UpstreamState& state, const HttpConnection& connection) {
  const std::string key = QueryValue(connection, "key");
  if (!key.empty())
    return RunJson(state, key);
  return RunsJson(state, QueryValue(connection, "repeated") == "1");
}

value CountsAnswer(const UpstreamServer& upstream) {
  const HttpServer& server = *upstream.server;
  value json = UpstreamCountsJson(upstream.state);
  json["accepted"] = value::number(server.accepted);
  json["over_cap"] = value::number(server.over_cap);
  json["connections"] = value::number(std::uint64_t{server.connections.size()});
  json["queued"] = value::number(std::uint64_t{upstream.queue.size()});
  return json;
}

}  // namespace

void HandleControl(const UpstreamServerPtr& upstream,
                   const ConnectionPtr& connection) {
  const std::string_view path = RequestPath(*connection);
  if (path == "/control/fault")
    SendReply(connection, ControlReply(HandleFault(*upstream, connection)));
  else if (path == "/control/runs")
    SendReply(connection,
              JsonReply(200, RunsAnswer(upstream->state, *connection)));
  else if (path == "/control/counts")
    SendReply(connection, JsonReply(200, CountsAnswer(*upstream)));
  else
    SendReply(connection, NotFoundReply());
}

}  // namespace poplarfork::standin
