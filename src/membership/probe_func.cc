#include "membership/probe_func.h"

#include <algorithm>
#include <limits>
#include <string>
#include <utility>

#include "membership/gossip_func.h"
#include "membership/limits_type.h"
#include "membership/local_health_func.h"
#include "membership/member_list_func.h"
#include "membership/neighbour_func.h"
#include "membership/suspicion_func.h"

namespace poplarfork::membership {

namespace {

proto::Probe MakeProbeMessage(const LocalMember& self, std::uint64_t sequence) {
  proto::Probe message;
  message.set_sequence(sequence);
  message.set_revision(self.revision.value);
  message.set_version(self.version);
  message.set_load(self.load);
  message.set_is_leaving(self.is_leaving);
  return message;
}

void SendProbeMessage(Membership& membership,
                      const base::DaemonId& recipient,
                      proto::MessageKind kind,
                      proto::Probe& message,
                      Actions& actions) {
  AppendUpdates(membership, recipient, message);
  actions.messages.push_back({recipient, kind, message.SerializeAsString()});
}

void SendProbe(Membership& membership,
               OpenProbe probe,
               const base::DaemonId& origin,
               Actions& actions) {
  probe.sequence = membership.next_sequence++;
  proto::Probe message =
      MakeProbeMessage(membership.local_member, probe.sequence);
  message.set_origin(origin.value);
  SendProbeMessage(membership, probe.target, proto::PROBE, message, actions);
  membership.open_probes.push_back(std::move(probe));
}

// Asks other members to probe the target.
void RequestIndirectProbes(Membership& membership,
                           OpenProbe& probe,
                           base::TimePoint now,
                           base::Rng& rng,
                           Actions& actions) {
  probe.stage = ProbeStage::kIndirect;
  probe.deadline = now + ScaleTimeout(membership, kIndirectTimeout);
  for (const base::DaemonId& prober :
       ChooseIndirectProbers(membership, probe.target, rng)) {
    proto::Probe message =
        MakeProbeMessage(membership.local_member, probe.sequence);
    message.set_target(probe.target.value);
    SendProbeMessage(membership, prober, proto::INDIRECT_PROBE, message,
                     actions);
    ++membership.counters.indirect_probes;
  }
}

// Counts an ack that did not arrive directly although the member is alive, and
// reports the link as broken after `kBrokenLinkMisses` of them.
void RecordMissedAck(Member& member,
                     const base::DaemonId& daemon,
                     const base::DaemonId& reporter,
                     const char* reason,
                     Actions& actions) {
  if (member.missed_direct_acks < std::numeric_limits<std::uint8_t>::max())
    ++member.missed_direct_acks;
  if (member.missed_direct_acks == kBrokenLinkMisses)
    ReportChange(actions, ChangeKind::kLinkBroken, daemon, member.incarnation,
                 reporter, reason);
}

// Handles a probe that failed both directly and through other members. The
// target is suspected, unless a message from it arrived recently or this daemon
// is not healthy enough to suspect others.
void FailProbe(Membership& membership,
               const OpenProbe& probe,
               base::TimePoint now,
               Actions& actions) {
  Member* member = FindMember(membership, probe.target);
  if (member == nullptr || !IsLive(*member))
    return;
  ++membership.counters.probes_failed;
  RecordFailedProbe(membership, now, actions);
  QueuePriorityProbe(membership, probe.target);
  if (WasHeardRecently(*member, now)) {
    RecordMissedAck(*member, probe.target, {},
                    "messages from the member arrive, acks to probes do not",
                    actions);
    return;
  }
  if (!MaySuspectMembers(membership, now)) {
    ++membership.counters.declarations_withheld;
    return;
  }
  if (member->needs_failed_probe) {
    member->needs_failed_probe = false;
    member->deadline = now + kSuspicionTimeout;
  }
  StartSuspicion(membership, probe.target, {},
                 "no ack, directly or through other members", now, actions);
}

void RecordDirectAck(Member& member,
                     const base::DaemonId& daemon,
                     Actions& actions) {
  if (member.missed_direct_acks >= kBrokenLinkMisses)
    ReportChange(actions, ChangeKind::kLinkRestored, daemon, member.incarnation,
                 {}, "direct ack received");
  member.missed_direct_acks = 0;
}

// Forwards the ack of a relayed probe to the daemon that requested the probe.
void RelayAck(Membership& membership,
              const OpenProbe& relay,
              const proto::Probe& ack,
              Actions& actions) {
  proto::Probe message =
      MakeProbeMessage(membership.local_member, relay.origin_sequence);
  message.set_target(relay.target.value);
  message.set_has_heard_origin(ack.has_heard_origin());
  const Member* member = FindMember(membership, relay.target);
  if (member != nullptr)
    *message.add_updates() = MakeMemberUpdate(relay.target, *member, false);
  SendProbeMessage(membership, relay.origin, proto::ACK, message, actions);
}

}  // namespace

void ProbeNextNeighbour(Membership& membership,
                        base::TimePoint now,
                        base::Rng& rng,
                        Actions& actions) {
  const base::DaemonId target = TakeNextProbeTarget(membership, rng);
  if (target.value.empty())
    return;
  ++membership.counters.probes;
  OpenProbe probe;
  probe.target = target;
  probe.deadline = now + ScaleTimeout(membership, kProbeTimeout);
  SendProbe(membership, std::move(probe), {}, actions);
}

void ExpireProbes(Membership& membership,
                  base::TimePoint now,
                  base::Rng& rng,
                  Actions& actions) {
  std::vector<OpenProbe> expired;
  std::vector<OpenProbe> kept;
  for (OpenProbe& probe : membership.open_probes)
    (probe.deadline <= now ? expired : kept).push_back(std::move(probe));
  membership.open_probes = std::move(kept);
  for (OpenProbe& probe : expired) {
    if (probe.stage == ProbeStage::kDirect) {
      RequestIndirectProbes(membership, probe, now, rng, actions);
      membership.open_probes.push_back(std::move(probe));
    } else if (probe.stage == ProbeStage::kIndirect) {
      FailProbe(membership, probe, now, actions);
    }
  }
}

void HandleProbe(Membership& membership,
                 const base::DaemonId& sender,
                 const proto::Probe& probe,
                 base::TimePoint now,
                 Actions& actions) {
  proto::Probe ack =
      MakeProbeMessage(membership.local_member, probe.sequence());
  if (!probe.origin().empty()) {
    const Member* origin =
        FindMember(membership, base::DaemonId{probe.origin()});
    ack.set_has_heard_origin(origin != nullptr &&
                             WasHeardRecently(*origin, now));
  }
  SendProbeMessage(membership, sender, proto::ACK, ack, actions);
}

void HandleIndirectProbe(Membership& membership,
                         const base::DaemonId& sender,
                         const proto::Probe& request,
                         base::TimePoint now,
                         Actions& actions) {
  const base::DaemonId target{request.target()};
  const auto relays = static_cast<std::size_t>(
      std::count_if(membership.open_probes.begin(),
                    membership.open_probes.end(), [](const OpenProbe& probe) {
                      return probe.stage == ProbeStage::kRelay;
                    }));
  if (relays >= kMaxRelayedProbes ||
      FindMember(membership, target) == nullptr) {
    ++membership.counters.relays_refused;
    return;
  }
  OpenProbe relay;
  relay.target = target;
  relay.stage = ProbeStage::kRelay;
  relay.deadline = now + kIndirectTimeout;
  relay.origin = sender;
  relay.origin_sequence = request.sequence();
  SendProbe(membership, std::move(relay), sender, actions);
}

void HandleAck(Membership& membership,
               const base::DaemonId& sender,
               const proto::Probe& ack,
               base::TimePoint now,
               Actions& actions) {
  const base::DaemonId target =
      ack.target().empty() ? sender : base::DaemonId{ack.target()};
  std::vector<OpenProbe>& open = membership.open_probes;
  const auto found =
      std::find_if(open.begin(), open.end(), [&](const OpenProbe& probe) {
        return probe.sequence == ack.sequence() && probe.target == target;
      });
  if (found == open.end())
    return;
  const OpenProbe probe = std::move(*found);
  open.erase(found);
  if (probe.stage == ProbeStage::kRelay) {
    RelayAck(membership, probe, ack, actions);
    return;
  }
  RecordAck(membership, now, actions);
  Member* member = FindMember(membership, target);
  if (member == nullptr)
    return;
  if (target == sender) {
    RecordDirectAck(*member, target, actions);
    // The suspicion of a leaving member is known to this daemon only, so the
    // member has nothing to refute.
    if (member->is_suspected && member->state == MemberState::kLeaving)
      ClearSuspicion(membership, target, *member);
    return;
  }
  if (member->missed_direct_acks < kBrokenLinkMisses)
    QueuePriorityProbe(membership, target);
  RecordMissedAck(
      *member, target, sender,
      ack.has_heard_origin()
          ? "acks arrive through other members; its own messages do not "
            "arrive here"
          : "acks arrive through other members; messages of this daemon do "
            "not reach it",
      actions);
}

}  // namespace poplarfork::membership
