#include "membership/membership_func.h"

#include <utility>

#include <membership.pb.h>

#include "base/rng_func.h"
#include "membership/gossip_func.h"
#include "membership/join_func.h"
#include "membership/limits_type.h"
#include "membership/local_health_func.h"
#include "membership/member_list_func.h"
#include "membership/merge_func.h"
#include "membership/neighbour_func.h"
#include "membership/probe_func.h"
#include "membership/suspicion_func.h"
#include "membership/vm_list_func.h"

namespace poplarfork::membership {

namespace {

void RecordRevision(Membership& membership,
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
proto::MemberUpdate MakeSenderUpdate(const IncomingMessage& message,
                                     const proto::Probe& probe) {
  proto::MemberUpdate update;
  update.set_daemon(message.sender.value);
  update.set_incarnation(message.incarnation.value);
  update.set_version(probe.version());
  update.set_state(probe.is_leaving() ? proto::MEMBER_STATE_LEAVING
                                      : proto::MEMBER_STATE_ALIVE);
  update.set_load(probe.load());
  return update;
}

void HandleProbeMessage(Membership& membership,
                        const IncomingMessage& message,
                        base::TimePoint now,
                        Actions& actions) {
  proto::Probe probe;
  if (!probe.ParseFromString(message.payload)) {
    ++membership.counters.malformed_inputs;
    return;
  }
  if (!MergeSender(membership, MakeSenderUpdate(message, probe), now, actions))
    RequestSenderEntry(membership, message.sender, now, actions);
  RecordRevision(membership, message.sender, probe.revision(), actions);
  for (const proto::MemberUpdate& update : probe.updates())
    MergeUpdate(membership, update, message.sender, now, actions);
  if (message.kind == proto::PROBE)
    HandleProbe(membership, message.sender, probe, now, actions);
  else if (message.kind == proto::INDIRECT_PROBE)
    HandleIndirectProbe(membership, message.sender, probe, now, actions);
  else
    HandleAck(membership, message.sender, probe, now, actions);
}

// Decodes a payload that contains the sender's own entry, and merges that
// entry. Returns false if the payload is malformed or its entry is not the
// sender's.
template <class Payload>
bool DecodeAndMergeSender(Membership& membership,
                          const IncomingMessage& message,
                          Payload& payload,
                          base::TimePoint now,
                          Actions& actions) {
  const bool is_decoded = payload.ParseFromString(message.payload);
  if (!is_decoded || payload.self().daemon() != message.sender.value) {
    ++membership.counters.malformed_inputs;
    return false;
  }
  MergeSender(membership, payload.self(), now, actions);
  RecordRevision(membership, message.sender, payload.revision(), actions);
  return true;
}

void DispatchMessage(Membership& membership,
                     const IncomingMessage& message,
                     base::TimePoint now,
                     Actions& actions) {
  switch (message.kind) {
    case proto::PROBE:
    case proto::ACK:
    case proto::INDIRECT_PROBE:
      HandleProbeMessage(membership, message, now, actions);
      return;
    case proto::JOIN: {
      proto::Join join;
      if (!DecodeAndMergeSender(membership, message, join, now, actions))
        return;
      if (join.has_accusation())
        MergeUpdate(membership, join.accusation(), message.sender, now,
                    actions);
      HandleJoin(membership, join, now, actions);
      return;
    }
    case proto::MEMBER_LIST: {
      proto::MemberList list;
      if (DecodeAndMergeSender(membership, message, list, now, actions))
        HandleMemberList(membership, message.sender, list, now, actions);
      return;
    }
    case proto::LEAVING: {
      proto::Leaving leaving;
      DecodeAndMergeSender(membership, message, leaving, now, actions);
      return;
    }
    default:
      ++membership.counters.malformed_inputs;
  }
}

// Sends this daemon's new state, leaving or dead, to all neighbours and queues
// it for gossip.
Actions AnnounceLeaving(Membership& membership) {
  Actions actions;
  ++membership.local_member.version;
  proto::Leaving leaving;
  *leaving.mutable_self() = MakeSelfUpdate(membership.local_member);
  leaving.set_revision(membership.local_member.revision.value);
  const std::string payload = leaving.SerializeAsString();
  RefreshNeighbours(membership);
  for (const base::DaemonId& neighbour : membership.neighbours)
    actions.messages.push_back({neighbour, proto::LEAVING, payload});
  QueueUpdate(membership, membership.local_member.daemon);
  return actions;
}

LiveMember DescribeSelf(const LocalMember& self) {
  return {self.daemon,
          self.edge_address,
          self.data_centre,
          self.incarnation,
          self.is_leaving ? MemberState::kLeaving : MemberState::kAlive,
          self.load,
          self.revision};
}

LiveMember DescribeMember(const base::DaemonId& daemon, const Member& member) {
  return {daemon,
          member.edge_address,
          member.data_centre,
          member.incarnation,
          member.is_vm_leaving ? MemberState::kLeaving : member.state,
          member.load,
          member.revision};
}

}  // namespace

Membership MakeMembership(LocalMember self,
                          std::vector<base::DaemonId> seeds,
                          base::TimePoint now,
                          base::Rng& rng) {
  Membership membership;
  membership.local_member = std::move(self);
  membership.seeds = std::move(seeds);
  membership.health.last_tick_at = now;
  membership.health.last_ack_at = now;
  membership.list_cursor.requested_at = now - kJoinRetryInterval;
  // The first probe is sent at a random time, because daemons that start
  // together would otherwise send all their probes at the same times.
  const auto jitter_bound =
      static_cast<std::uint64_t>(base::Duration(kProbeInterval).count());
  membership.next_probe_at =
      now + base::Duration(base::UniformBelow(rng, jitter_bound));
  membership.sync_interval = kMinSyncInterval;
  membership.next_sync_at = now + kMinSyncInterval;
  membership.next_reconnect_at = now + kReconnectInterval;
  membership.next_purge_at = now + kPurgeInterval;
  QueueUpdate(membership, membership.local_member.daemon);
  return membership;
}

Actions Tick(Membership& membership, base::TimePoint now, base::Rng& rng) {
  Actions actions;
  if (membership.local_member.has_left)
    return actions;
  RecordTick(membership, now, actions);
  ExpireProbes(membership, now, rng, actions);
  ExpireSuspicions(membership, now, actions);
  if (now >= membership.next_probe_at) {
    membership.next_probe_at += kProbeInterval;
    if (membership.next_probe_at <= now)
      membership.next_probe_at = now + kProbeInterval;
    RefreshNeighbours(membership);
    ProbeNextNeighbour(membership, now, rng, actions);
  }
  TickListExchange(membership, now, rng, actions);
  if (now >= membership.next_purge_at) {
    membership.next_purge_at = now + kPurgeInterval;
    PurgeDeadMembers(membership, now, actions);
  }
  return actions;
}

Actions HandleMessage(Membership& membership,
                      const IncomingMessage& message,
                      base::TimePoint now) {
  Actions actions;
  if (message.sender == membership.local_member.daemon ||
      membership.local_member.has_left)
    return actions;
  DispatchMessage(membership, message, now, actions);
  return actions;
}

Actions HandleVmListUpdate(Membership& membership, const VmList& list) {
  Actions actions;
  ApplyVmList(membership, list, actions);
  return actions;
}

void SetLoad(Membership& membership, std::uint8_t load, base::TimePoint now) {
  LocalMember& self = membership.local_member;
  self.load = load;
  const bool is_high = load >= kHighLoadPercent;
  const bool is_low = load < kLowLoadPercent;
  const bool crosses_threshold = self.is_high_load_announced ? is_low : is_high;
  if (!crosses_threshold ||
      now - self.load_announced_at < kLoadAnnounceInterval)
    return;
  self.is_high_load_announced = is_high;
  self.load_announced_at = now;
  ++self.version;
  QueueUpdate(membership, self.daemon);
}

void SetRevision(Membership& membership, base::Revision revision) {
  membership.local_member.revision = revision;
}

Actions StartLeaving(Membership& membership) {
  if (membership.local_member.is_leaving)
    return {};
  membership.local_member.is_leaving = true;
  return AnnounceLeaving(membership);
}

Actions FinishLeaving(Membership& membership) {
  if (membership.local_member.has_left)
    return {};
  membership.local_member.is_leaving = true;
  membership.local_member.has_left = true;
  return AnnounceLeaving(membership);
}

std::vector<LiveMember> LiveMembers(const Membership& membership) {
  std::vector<LiveMember> live;
  live.reserve(CountLiveMembers(membership) + 1);
  bool is_self_added = false;
  for (const auto& [daemon, member] : membership.members) {
    if (!is_self_added && membership.local_member.daemon < daemon) {
      live.push_back(DescribeSelf(membership.local_member));
      is_self_added = true;
    }
    if (IsLive(member))
      live.push_back(DescribeMember(daemon, member));
  }
  if (!is_self_added)
    live.push_back(DescribeSelf(membership.local_member));
  return live;
}

}  // namespace poplarfork::membership
