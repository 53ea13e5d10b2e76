#include "membership/member_list_func.h"

#include <utility>

namespace poplarfork::membership {

namespace {

proto::MemberState ToProto(MemberState state) {
  return static_cast<proto::MemberState>(state);
}

proto::MemberState SelfState(const LocalMember& self) {
  if (self.has_left)
    return proto::MEMBER_STATE_DEAD;
  return self.is_leaving ? proto::MEMBER_STATE_LEAVING
                         : proto::MEMBER_STATE_ALIVE;
}

}  // namespace

Member* FindMember(Membership& membership, const base::DaemonId& daemon) {
  const auto found = membership.members.find(daemon);
  return found == membership.members.end() ? nullptr : &found->second;
}

const Member* FindMember(const Membership& membership,
                         const base::DaemonId& daemon) {
  const auto found = membership.members.find(daemon);
  return found == membership.members.end() ? nullptr : &found->second;
}

bool IsLive(const Member& member) {
  return member.state != MemberState::kDead;
}

std::size_t CountLiveMembers(const Membership& membership) {
  return membership.members.size() - membership.dead_count;
}

proto::MemberUpdate MakeSelfUpdate(const LocalMember& self) {
  proto::MemberUpdate update;
  update.set_daemon(self.daemon.value);
  update.set_incarnation(self.incarnation.value);
  update.set_version(self.version);
  update.set_state(SelfState(self));
  update.set_edge_address(self.edge_address);
  update.set_data_centre(self.data_centre.value);
  update.set_load(self.load);
  return update;
}

proto::MemberUpdate MakeMemberUpdate(const base::DaemonId& daemon,
                                     const Member& member,
                                     bool include_address) {
  proto::MemberUpdate update;
  update.set_daemon(daemon.value);
  update.set_incarnation(member.incarnation.value);
  update.set_version(member.version);
  update.set_state(ToProto(member.state));
  const bool is_suspect_or_dead = member.state == MemberState::kSuspect ||
                                  member.state == MemberState::kDead;
  if (is_suspect_or_dead && !include_address)
    return update;
  update.set_edge_address(member.edge_address);
  update.set_data_centre(member.data_centre.value);
  update.set_load(member.load);
  return update;
}

void ReportChange(Actions& actions,
                  ChangeKind kind,
                  const base::DaemonId& daemon,
                  base::Incarnation incarnation,
                  const base::DaemonId& reporter,
                  std::string reason) {
  actions.changes.push_back(
      {kind, daemon, incarnation, reporter, std::move(reason)});
}

}  // namespace poplarfork::membership
