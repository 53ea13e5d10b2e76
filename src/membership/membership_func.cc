#include "membership/membership_func.h"

#include <utility>

#include <membership.pb.h>

#include "base/rng_func.h"
#include "membership/doubt_func.h"
#include "membership/gossip_func.h"
#include "membership/join_func.h"
#include "membership/limits_type.h"
#include "membership/merge_func.h"
#include "membership/neighbour_func.h"
#include "membership/probe_func.h"
#include "membership/suspicion_func.h"
#include "membership/view_func.h"
#include "membership/vm_list_func.h"

namespace poplarfork::membership {

namespace {

void NoteRevision(Membership& membership,
                  const base::DaemonId& sender,
                  std::uint64_t revision,
                  Actions& actions) {
  Member* member = FindMember(membership, sender);
  if (member != nullptr)
    member->revision.value = revision;
  actions.revisions.push_back({sender, base::Revision{revision}});
}

// Returns the statement about itself that the sender of a probe makes with it.
// A probe contains neither the address nor the data centre.
proto::MemberUpdate SenderStatement(const IncomingMessage& message,
                                    const proto::Probe& probe) {
  proto::MemberUpdate statement;
  statement.set_daemon(message.sender.value);
  statement.set_incarnation(message.incarnation.value);
  statement.set_version(probe.version());
  statement.set_state(probe.is_leaving() ? proto::MEMBER_STATE_LEAVING
                                         : proto::MEMBER_STATE_ALIVE);
  statement.set_load(probe.load());
  return statement;
}

void HandleProbeKinds(Membership& membership,
                      const IncomingMessage& message,
                      base::TimePoint now,
                      Actions& actions) {
  proto::Probe probe;
  if (!probe.ParseFromString(message.payload)) {
    ++membership.counters.malformed;
    return;
  }
  if (!MergeSender(membership, SenderStatement(message, probe), now, actions))
    AskForEntry(membership, message.sender, now, actions);
  NoteRevision(membership, message.sender, probe.revision(), actions);
  for (const proto::MemberUpdate& update : probe.updates())
    MergeUpdate(membership, update, message.sender, now, actions);
  if (message.kind == proto::PROBE)
    HandleProbe(membership, message.sender, probe, now, actions);
  else if (message.kind == proto::INDIRECT_PROBE)
    HandleIndirectProbe(membership, message.sender, probe, now, actions);
  else
    HandleAnswer(membership, message.sender, probe, now, actions);
}

// Decodes a payload that contains the sender's own entry, and merges that
// entry. Returns false if the payload is malformed or its entry is not the
// sender's.
template <class Payload>
bool ReadWithSelf(Membership& membership,
                  const IncomingMessage& message,
                  Payload& payload,
                  base::TimePoint now,
                  Actions& actions) {
  const bool is_decoded = payload.ParseFromString(message.payload);
  if (!is_decoded || payload.self().daemon() != message.sender.value) {
    ++membership.counters.malformed;
    return false;
  }
  MergeSender(membership, payload.self(), now, actions);
  NoteRevision(membership, message.sender, payload.revision(), actions);
  return true;
}

void HandleKind(Membership& membership,
                const IncomingMessage& message,
                base::TimePoint now,
                Actions& actions) {
  switch (message.kind) {
    case proto::PROBE:
    case proto::ACK:
    case proto::INDIRECT_PROBE:
      HandleProbeKinds(membership, message, now, actions);
      return;
    case proto::JOIN: {
      proto::Join join;
      if (!ReadWithSelf(membership, message, join, now, actions))
        return;
      if (join.has_accusation())
        MergeUpdate(membership, join.accusation(), message.sender, now,
                    actions);
      HandleJoin(membership, join, now, actions);
      return;
    }
    case proto::MEMBER_LIST: {
      proto::MemberList list;
      if (ReadWithSelf(membership, message, list, now, actions))
        HandleMemberList(membership, message.sender, list, now, actions);
      return;
    }
    case proto::LEAVING: {
      proto::Leaving leaving;
      ReadWithSelf(membership, message, leaving, now, actions);
      return;
    }
    default:
      ++membership.counters.malformed;
  }
}

// Sends this daemon's new state, leaving or dead, to all neighbours and queues
// it for gossip.
Actions StateLeaving(Membership& membership) {
  Actions actions;
  ++membership.self.version;
  proto::Leaving leaving;
  *leaving.mutable_self() = SelfUpdate(membership.self);
  leaving.set_revision(membership.self.revision.value);
  const std::string payload = leaving.SerializeAsString();
  RefreshNeighbours(membership);
  for (const base::DaemonId& neighbour : membership.neighbours)
    actions.messages.push_back({neighbour, proto::LEAVING, payload});
  QueueUpdate(membership, membership.self.daemon);
  return actions;
}

LiveMember DescribeSelf(const Self& self) {
  return {self.daemon,
          self.edge_address,
          self.data_centre,
          self.incarnation,
          self.is_leaving ? MemberState::kLeaving : MemberState::kAlive,
          self.load,
          self.revision};
}

LiveMember Describe(const base::DaemonId& daemon, const Member& member) {
  return {daemon,
          member.edge_address,
          member.data_centre,
          member.incarnation,
          member.is_vm_leaving ? MemberState::kLeaving : member.state,
          member.load,
          member.revision};
}

}  // namespace

Membership Start(Self self,
                 std::vector<base::DaemonId> seeds,
                 base::TimePoint now,
                 base::Rng& rng) {
  Membership membership;
  membership.self = std::move(self);
  membership.seeds = std::move(seeds);
  membership.health.last_tick = now;
  membership.health.last_answer = now;
  membership.reading.requested_at = now - kJoinRetry;
  // The first probe is sent at a random time, because daemons that start
  // together would otherwise send all their probes at the same times.
  const auto spread =
      static_cast<std::uint64_t>(base::Duration(kProbeInterval).count());
  membership.next_probe_at =
      now + base::Duration(base::UniformBelow(rng, spread));
  membership.sync_interval = kMinSyncInterval;
  membership.next_sync_at = now + kMinSyncInterval;
  membership.next_reconnect_at = now + kReconnectInterval;
  membership.next_forget_at = now + kForgetInterval;
  QueueUpdate(membership, membership.self.daemon);
  return membership;
}

Actions Tick(Membership& membership, base::TimePoint now, base::Rng& rng) {
  Actions actions;
  if (membership.self.has_left)
    return actions;
  NoteTick(membership, now, actions);
  ExpireProbes(membership, now, rng, actions);
  ExpireSuspicions(membership, now, actions);
  if (now >= membership.next_probe_at) {
    membership.next_probe_at += kProbeInterval;
    if (membership.next_probe_at <= now)
      membership.next_probe_at = now + kProbeInterval;
    RefreshNeighbours(membership);
    ProbeNext(membership, now, rng, actions);
  }
  MaintainContact(membership, now, rng, actions);
  if (now >= membership.next_forget_at) {
    membership.next_forget_at = now + kForgetInterval;
    ForgetDead(membership, now, actions);
  }
  return actions;
}

Actions HandleMessage(Membership& membership,
                      const IncomingMessage& message,
                      base::TimePoint now) {
  Actions actions;
  if (message.sender == membership.self.daemon || membership.self.has_left)
    return actions;
  HandleKind(membership, message, now, actions);
  return actions;
}

Actions HandleVmListUpdate(Membership& membership, const VmList& list) {
  Actions actions;
  HandleVmList(membership, list, actions);
  return actions;
}

void SetLoad(Membership& membership, std::uint8_t load, base::TimePoint now) {
  Self& self = membership.self;
  self.load = load;
  const bool is_high = load >= kLoadedPercent;
  const bool is_low = load < kUnloadedPercent;
  const bool is_crossing = self.is_load_announced ? is_low : is_high;
  if (!is_crossing || now - self.load_announced_at < kLoadAnnounceInterval)
    return;
  self.is_load_announced = is_high;
  self.load_announced_at = now;
  ++self.version;
  QueueUpdate(membership, self.daemon);
}

void SetRevision(Membership& membership, base::Revision revision) {
  membership.self.revision = revision;
}

Actions StartLeaving(Membership& membership) {
  if (membership.self.is_leaving)
    return {};
  membership.self.is_leaving = true;
  return StateLeaving(membership);
}

Actions FinishLeaving(Membership& membership) {
  if (membership.self.has_left)
    return {};
  membership.self.is_leaving = true;
  membership.self.has_left = true;
  return StateLeaving(membership);
}

std::vector<LiveMember> LiveMembers(const Membership& membership) {
  std::vector<LiveMember> live;
  live.reserve(CountLive(membership) + 1);
  bool is_self_added = false;
  for (const auto& [daemon, member] : membership.members) {
    if (!is_self_added && membership.self.daemon < daemon) {
      live.push_back(DescribeSelf(membership.self));
      is_self_added = true;
    }
    if (IsLive(member))
      live.push_back(Describe(daemon, member));
  }
  if (!is_self_added)
    live.push_back(DescribeSelf(membership.self));
  return live;
}

}  // namespace poplarfork::membership
