#include "daemon/release_driver_func.h"

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "clock/now_func.h"
#include "daemon/configuration_func.h"
#include "daemon/http_response_func.h"
#include "daemon/release_store_func.h"
#include "logging/log_func.h"
#include "membership/membership_func.h"
#include "metrics/registry_func.h"
#include "peer/transport_func.h"
#include "release/publish_name_func.h"
#include "release/release_func.h"

namespace poplarfork::daemon {

namespace {

namespace http = boost::beast::http;
using web::json::value;

void ExecuteAction(Daemon& daemon, const release::StoreCall& call) {
  StartStoreCall(daemon, call);
}

void ExecuteAction(Daemon& daemon, const release::OutgoingMessage& message) {
  (void)peer::Send(*daemon.transport, message.peer, message.kind,
                   message.payload);
}

void ExecuteAction(Daemon& daemon, const release::PublishResult& result) {
  auto body = value::object();
  body["result"] = value::string(release::OutcomeName(result.outcome));
  body["revision"] = value::number(result.revision.value);
  body["note_id"] = value::string(result.note_id.value);
  body["reason"] = value::string(result.reason);
  body["detail"] = value::string(result.detail);
  logging::WriteLogLine("publish", body);
  const auto found = daemon.publish_exchanges.find(result.id.value);
  if (found == daemon.publish_exchanges.end())
    return;
  const auto caller_exchange = found->second;
  daemon.publish_exchanges.erase(found);
  caller_exchange->Respond(MakeJsonResponse(http::status::ok, body));
}

void ExecuteAction(Daemon& daemon,
                   const release::RevisionInstalled& installed) {
  const note::Configuration& configuration =
      daemon.release.install.configuration;
  membership::SetRevision(daemon.membership, installed.revision);
  ApplyConfiguration(
      daemon, std::make_shared<const note::Configuration>(configuration));
}

void ExecuteAction(Daemon& daemon, const release::ForkRefused& fork) {
  metrics::IncrementCounter(daemon.metrics, "poplarfork_forks_refused_total");
  auto fields = value::object();
  fields["revision"] = value::number(fork.revision.value);
  fields["note_id"] = value::string(fork.note_id.value);
  fields["peer"] = value::string(fork.peer.value);
  logging::WriteLogLine("fork_refused", std::move(fields));
}

void ExecuteAction(Daemon& daemon, const release::ReadinessChanged& change) {
  daemon.ready = change.ready;
  auto fields = value::object();
  fields["ready"] = value::boolean(change.ready);
  logging::WriteLogLine("ready", std::move(fields));
}

std::int64_t UnixTimeMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

}  // namespace

void HandleReleaseEvent(Daemon& daemon, const release::Event& event) {
  const release::Actions actions =
      release::HandleEvent(daemon.release, event, clock::Now(), daemon.rng);
  for (const release::Action& action : actions) {
    std::visit([&daemon](const auto& item) { ExecuteAction(daemon, item); },
               action);
  }
}

void PublishNote(Daemon& daemon,
                 const std::shared_ptr<edge::Exchange>& caller_exchange,
                 const edge::HttpRequest& request) {
  const auto note_id = request["Poplarfork-Note-Id"];
  release::PublishRequest publish_request;
  publish_request.id = {daemon.next_publication_id++};
  publish_request.note_id = {std::string(note_id.data(), note_id.size())};
  publish_request.yaml = request.body();
  publish_request.published_unix_ms = UnixTimeMs();
  daemon.publish_exchanges[publish_request.id.value] = caller_exchange;
  HandleReleaseEvent(daemon, std::move(publish_request));
}

}  // namespace poplarfork::daemon
