#include "membership/probe_func.h"

#include <algorithm>
#include <limits>
#include <string>
#include <utility>

#include "membership/doubt_func.h"
#include "membership/gossip_func.h"
#include "membership/limits_type.h"
#include "membership/neighbour_func.h"
#include "membership/suspicion_func.h"
#include "membership/view_func.h"

namespace poplarfork::membership {

namespace {

proto::Probe NewMessage(const Self& self, std::uint64_t sequence) {
  proto::Probe message;
  message.set_sequence(sequence);
  message.set_revision(self.revision.value);
  message.set_version(self.version);
  message.set_load(self.load);
  message.set_is_leaving(self.is_leaving);
  return message;
}

void SendMessage(Membership& membership,
                 const base::DaemonId& to,
                 proto::MessageKind kind,
                 proto::Probe& message,
                 Actions& actions) {
  AddUpdates(membership, to, message);
  actions.messages.push_back({to, kind, message.SerializeAsString()});
}

void SendProbe(Membership& membership,
               OpenProbe probe,
               const base::DaemonId& origin,
               Actions& actions) {
  probe.sequence = membership.next_sequence++;
  proto::Probe message = NewMessage(membership.self, probe.sequence);
  message.set_origin(origin.value);
  SendMessage(membership, probe.target, proto::PROBE, message, actions);
  membership.open_probes.push_back(std::move(probe));
}

// Asks other members to probe the target.
void AskOthers(Membership& membership,
               OpenProbe& probe,
               base::TimePoint now,
               base::Rng& rng,
               Actions& actions) {
  probe.stage = ProbeStage::kIndirect;
  probe.deadline = now + Lengthen(membership, kIndirectTimeout);
  for (const base::DaemonId& helper :
       ChooseHelpers(membership, probe.target, rng)) {
    proto::Probe message = NewMessage(membership.self, probe.sequence);
    message.set_target(probe.target.value);
    SendMessage(membership, helper, proto::INDIRECT_PROBE, message, actions);
    ++membership.counters.indirect_probes;
  }
}

// Counts an ack that did not arrive directly although the member is alive, and
// reports the link as broken after `kBrokenLinkMisses` of them.
void NoteMiss(Member& member,
              const base::DaemonId& daemon,
              const base::DaemonId& reporter,
              const char* direction,
              Actions& actions) {
  if (member.direct_misses < std::numeric_limits<std::uint8_t>::max())
    ++member.direct_misses;
  if (member.direct_misses == kMissesOfBrokenLink)
    Report(actions, ChangeKind::kLinkBroken, daemon, member.incarnation,
           reporter, direction);
}

// Handles a probe that failed both directly and through other members. The
// target is suspected, unless a message from it arrived recently or this daemon
// is not healthy enough to accuse others.
void GiveUp(Membership& membership,
            const OpenProbe& probe,
            base::TimePoint now,
            Actions& actions) {
  Member* member = FindMember(membership, probe.target);
  if (member == nullptr || !IsLive(*member))
    return;
  ++membership.counters.probes_failed;
  NoteSilence(membership, now, actions);
  Recheck(membership, probe.target);
  if (IsFresh(*member, now)) {
    NoteMiss(*member, probe.target, {},
             "messages from the member arrive, acks to probes do not", actions);
    return;
  }
  if (!MayAccuse(membership, now)) {
    ++membership.counters.accusations_withheld;
    return;
  }
  if (member->needs_probe) {
    member->needs_probe = false;
    member->deadline = now + kSuspicionTimeout;
  }
  Suspect(membership, probe.target, {},
          "no ack, directly or through other members", now, actions);
}

void NoteDirectAnswer(Member& member,
                      const base::DaemonId& daemon,
                      Actions& actions) {
  if (member.direct_misses >= kMissesOfBrokenLink)
    Report(actions, ChangeKind::kLinkRestored, daemon, member.incarnation, {},
           "direct ack received");
  member.direct_misses = 0;
}

// Forwards the ack of a relayed probe to the daemon that requested the probe.
void PassOn(Membership& membership,
            const OpenProbe& relay,
            const proto::Probe& answer,
            Actions& actions) {
  proto::Probe message = NewMessage(membership.self, relay.origin_sequence);
  message.set_target(relay.target.value);
  message.set_has_heard_origin(answer.has_heard_origin());
  const Member* member = FindMember(membership, relay.target);
  if (member != nullptr)
    *message.add_updates() = ToUpdate(relay.target, *member, false);
  SendMessage(membership, relay.origin, proto::ACK, message, actions);
}

}  // namespace

void ProbeNext(Membership& membership,
               base::TimePoint now,
               base::Rng& rng,
               Actions& actions) {
  const base::DaemonId target = NextToProbe(membership, rng);
  if (target.value.empty())
    return;
  ++membership.counters.probes;
  OpenProbe probe;
  probe.target = target;
  probe.deadline = now + Lengthen(membership, kProbeTimeout);
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
      AskOthers(membership, probe, now, rng, actions);
      membership.open_probes.push_back(std::move(probe));
    } else if (probe.stage == ProbeStage::kIndirect) {
      GiveUp(membership, probe, now, actions);
    }
  }
}

void HandleProbe(Membership& membership,
                 const base::DaemonId& sender,
                 const proto::Probe& probe,
                 base::TimePoint now,
                 Actions& actions) {
  proto::Probe answer = NewMessage(membership.self, probe.sequence());
  if (!probe.origin().empty()) {
    const Member* origin =
        FindMember(membership, base::DaemonId{probe.origin()});
    answer.set_has_heard_origin(origin != nullptr && IsFresh(*origin, now));
  }
  SendMessage(membership, sender, proto::ACK, answer, actions);
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
  if (relays >= kMaxRelays || FindMember(membership, target) == nullptr) {
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

void HandleAnswer(Membership& membership,
                  const base::DaemonId& sender,
                  const proto::Probe& answer,
                  base::TimePoint now,
                  Actions& actions) {
  const base::DaemonId target =
      answer.target().empty() ? sender : base::DaemonId{answer.target()};
  std::vector<OpenProbe>& open = membership.open_probes;
  const auto found =
      std::find_if(open.begin(), open.end(), [&](const OpenProbe& probe) {
        return probe.sequence == answer.sequence() && probe.target == target;
      });
  if (found == open.end())
    return;
  const OpenProbe probe = std::move(*found);
  open.erase(found);
  if (probe.stage == ProbeStage::kRelay) {
    PassOn(membership, probe, answer, actions);
    return;
  }
  NoteAnswer(membership, now, actions);
  Member* member = FindMember(membership, target);
  if (member == nullptr)
    return;
  if (target == sender) {
    NoteDirectAnswer(*member, target, actions);
    // The suspicion of a leaving member is known to this daemon only, so the
    // member has nothing to refute.
    if (member->is_suspected && member->state == MemberState::kLeaving)
      ClearSuspicion(membership, target, *member);
    return;
  }
  if (member->direct_misses < kMissesOfBrokenLink)
    Recheck(membership, target);
  NoteMiss(
      *member, target, sender,
      answer.has_heard_origin()
          ? "acks arrive through other members; its own messages do not "
            "arrive here"
          : "acks arrive through other members; messages of this daemon do "
            "not reach it",
      actions);
}

}  // namespace poplarfork::membership
