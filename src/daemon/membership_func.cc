#include "daemon/membership_func.h"

#include <algorithm>
#include <utility>

#include "claim/claim_func.h"
#include "clock/now_func.h"
#include "daemon/configuration_func.h"
#include "daemon/member_name_func.h"
#include "daemon/release_driver_func.h"
#include "daemon/shutdown_func.h"
#include "load/admission_func.h"
#include "logging/log_func.h"
#include "membership/membership_func.h"
#include "metrics/registry_func.h"
#include "peer/transport_func.h"

namespace poplarfork::daemon {

namespace {

using web::json::value;

constexpr double kPercent = 100;

void LogMemberChange(const membership::Change& change) {
  auto fields = value::object();
  fields["change"] = value::string(MemberChangeName(change.kind));
  fields["daemon"] = value::string(change.daemon.value);
  fields["incarnation"] = value::number(change.incarnation.value);
  fields["reporter"] = value::string(change.reporter.value);
  fields["reason"] = value::string(change.reason);
  logging::WriteLogLine("member", std::move(fields));
}

// Returns whether callers may be sent to the member. A member that is leaving
// gets no new callers, although it still serves requests. It is left out of the
// live daemons, so that the other members of its groups take over its share.
bool AcceptsNewCallers(const membership::LiveMember& member) {
  return member.state != membership::MemberState::kLeaving;
}

void ApplyMemberListChange(Daemon& daemon) {
  daemon.seen_member_list_version = daemon.membership.member_list_version;
  daemon.live_daemons.clear();
  release::MembersChanged members_changed;
  std::vector<claim::LiveDaemon> live_daemons;
  for (const membership::LiveMember& member :
       membership::LiveMembers(daemon.membership)) {
    live_daemons.push_back({member.daemon, member.incarnation});
    const bool is_self = member.daemon == daemon.self;
    if (is_self || AcceptsNewCallers(member))
      daemon.live_daemons.push_back({member.daemon, member.data_centre});
    if (!is_self && AcceptsNewCallers(member))
      members_changed.members.push_back({member.daemon, member.data_centre});
  }
  metrics::SetGauge(daemon.metrics, "poplarfork_live_daemons",
                    static_cast<double>(live_daemons.size()));
  claim::OnLiveDaemonsChanged(daemon.claims, std::move(live_daemons));
  HandleReleaseEvent(daemon, std::move(members_changed));
  UpdateServiceGroups(daemon);
}

void HandleMemberChange(Daemon& daemon, const membership::Change& change) {
  LogMemberChange(change);
  if (change.kind == membership::ChangeKind::kDied)
    peer::CloseConnection(*daemon.transport, change.daemon);
  if (change.kind == membership::ChangeKind::kLeaving &&
      change.daemon == daemon.self)
    StartShutdown(daemon);
}

}  // namespace

void ExecuteMembershipActions(Daemon& daemon,
                              const membership::Actions& actions) {
  for (const membership::OutgoingMessage& message : actions.messages) {
    (void)peer::Send(*daemon.transport, message.recipient, message.kind,
                     message.payload);
  }
  for (const membership::Change& change : actions.changes)
    HandleMemberChange(daemon, change);
  for (const membership::PeerRevision& peer_revision : actions.revisions)
    HandleReleaseEvent(daemon, release::PeerRevision{peer_revision.daemon,
                                                     peer_revision.revision});
  if (daemon.seen_member_list_version != daemon.membership.member_list_version)
    ApplyMemberListChange(daemon);
}

std::uint8_t LoadPercent(const Daemon& daemon) {
  const double percent = kPercent * load::Pressure(daemon.load);
  return static_cast<std::uint8_t>(std::clamp(percent, 0.0, kPercent));
}

}  // namespace poplarfork::daemon
