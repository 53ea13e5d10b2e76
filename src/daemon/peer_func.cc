#include "daemon/peer_func.h"

#include <string>

#include "claim/claim_codec_func.h"
#include "claim/claim_func.h"
#include "clock/now_func.h"
#include "daemon/claim_func.h"
#include "daemon/health_func.h"
#include "daemon/membership_func.h"
#include "daemon/release_driver_func.h"
#include "health/message_func.h"
#include "membership/membership_func.h"
#include "metrics/registry_func.h"

namespace poplarfork::daemon {

namespace {

void CountMalformedMessage(Daemon& daemon, const peer::Message& message) {
  metrics::IncrementCounter(daemon.metrics,
                            "poplarfork_peer_malformed_total{kind=\"" +
                                proto::MessageKind_Name(message.kind) + "\"}");
}

void HandleMembershipMessage(Daemon& daemon, const peer::Message& message) {
  const membership::IncomingMessage incoming{
      message.sender, message.incarnation, message.data_centre, message.kind,
      message.payload};
  ExecuteMembershipActions(
      daemon,
      membership::HandleMessage(daemon.membership, incoming, clock::Now()));
}

void HandleReleaseMessage(Daemon& daemon, const peer::Message& message) {
  HandleReleaseEvent(
      daemon, release::IncomingMessage{{message.sender, message.data_centre},
                                       message.kind,
                                       message.payload});
}

void HandleClaimMessage(Daemon& daemon, const peer::Message& message) {
  if (message.kind == proto::CLAIM) {
    const auto claim = claim::DecodeClaim(message.payload, message.sender,
                                          message.incarnation);
    if (claim.has_value()) {
      ExecuteClaimActions(
          daemon,
          claim::OnClaimMessage(daemon.claims, claim.value(), clock::Now()));
      return;
    }
  } else {
    const auto result = claim::DecodeClaimResult(message.payload, daemon.self,
                                                 daemon.incarnation);
    if (result.has_value()) {
      ExecuteClaimActions(
          daemon,
          claim::OnClaimResult(daemon.claims, result.value(), clock::Now()));
      return;
    }
  }
  CountMalformedMessage(daemon, message);
}

ServiceRuntime* FindService(Daemon& daemon, const base::ServiceId& id) {
  const auto found = daemon.services.find(id);
  return found == daemon.services.end() ? nullptr : &found->second;
}

void HandleHealthMessage(Daemon& daemon, const peer::Message& message) {
  if (message.kind == proto::HEALTH_REPORT) {
    const auto report = health::DecodeReport(message.payload);
    if (!report.has_value()) {
      CountMalformedMessage(daemon, message);
      return;
    }
    if (ServiceRuntime* service = FindService(daemon, report.value().service))
      HandleHealthEvent(daemon, *service,
                        health::ReportReceived{report.value()});
    return;
  }
  const auto ledger = health::DecodeLedger(message.payload);
  if (!ledger.has_value()) {
    CountMalformedMessage(daemon, message);
    return;
  }
  if (ServiceRuntime* service = FindService(daemon, ledger.value().service))
    HandleHealthEvent(daemon, *service,
                      health::LedgerReceived{ledger.value(), false});
}

}  // namespace

void OnPeerMessage(Daemon& daemon, const peer::Message& message) {
  switch (message.kind) {
    case proto::PROBE:
    case proto::ACK:
    case proto::INDIRECT_PROBE:
    case proto::JOIN:
    case proto::MEMBER_LIST:
    case proto::LEAVING:
      HandleMembershipMessage(daemon, message);
      return;
    case proto::LOG_ENTRY:
    case proto::LOG_ENTRY_ACK:
    case proto::ENTRY_REQUEST:
    case proto::SNAPSHOT_REQUEST:
    case proto::SNAPSHOT_CHUNK:
      HandleReleaseMessage(daemon, message);
      return;
    case proto::CLAIM:
    case proto::CLAIM_RESULT:
      HandleClaimMessage(daemon, message);
      return;
    case proto::HEALTH_REPORT:
    case proto::LEDGER:
      HandleHealthMessage(daemon, message);
      return;
    case proto::CRASH_FINGERPRINT:
      OnCrashAnnouncement(daemon, message);
      return;
    default:
      CountMalformedMessage(daemon, message);
  }
}

}  // namespace poplarfork::daemon
