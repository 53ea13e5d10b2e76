#include "release/log_entry_func.h"

#include "release.pb.h"
#include "release/install_func.h"
#include "release/key_func.h"
#include "release/member_func.h"
#include "release/release_type.h"
#include "release/snapshot_writer_func.h"

namespace poplarfork::release {

namespace {

void ForwardToPeers(Context& context,
                    const proto::LogEntry& entry,
                    const base::DaemonId& excluded) {
  const ReleaseState& state = context.state;
  const std::vector<Member> peers = ChooseRandomPeers(
      state.members, state.settings.forward_fanout, excluded, context.rng);
  for (const Member& peer : peers)
    SendEntry(context, peer.id, entry, false);
}

void ReportInstalled(Context& context,
                     const proto::LogEntry& entry,
                     bool has_effect) {
  ReleaseCounters& counters = context.state.counters;
  ++counters.installed;
  if (!has_effect)
    ++counters.without_effect;
  context.actions.emplace_back(
      RevisionInstalled{{entry.revision()}, {entry.note_id()}, has_effect});
}

}  // namespace

std::uint64_t InstalledRevisionNumber(const ReleaseState& state) {
  return state.install.configuration.revision.value;
}

void SendEntry(Context& context,
               const base::DaemonId& peer,
               const proto::LogEntry& entry,
               bool want_ack) {
  proto::EntryMessage message;
  *message.mutable_entry() = entry;
  message.set_want_ack(want_ack);
  context.actions.emplace_back(
      OutgoingMessage{peer, proto::LOG_ENTRY, message.SerializeAsString()});
}

InstallOutcome InstallAndForwardEntry(Context& context,
                                      const proto::LogEntry& entry,
                                      const EntrySource& source) {
  ReleaseState& state = context.state;
  const InstallOutcome outcome =
      InstallEntry(state.install, entry, state.settings);
  switch (outcome) {
    case InstallOutcome::kInstalled:
    case InstallOutcome::kInstalledWithoutEffect:
      ReportInstalled(context, entry, outcome == InstallOutcome::kInstalled);
      if (source.forward)
        ForwardToPeers(context, entry, source.peer);
      StartSnapshotIfDue(context);
      break;
    case InstallOutcome::kFork:
      ++state.counters.forks;
      context.actions.emplace_back(
          ForkRefused{{entry.revision()}, {entry.note_id()}, source.peer});
      break;
    case InstallOutcome::kAlreadyInstalled:
    case InstallOutcome::kGap:
      break;
  }
  return outcome;
}

bool InstallStoreItems(Context& context,
                       const std::vector<StoreItem>& items,
                       bool forward) {
  for (const StoreItem& item : items) {
    proto::LogEntry entry;
    const bool parsed = entry.ParseFromString(item.value);
    if (!parsed || EntryKey({entry.revision()}) != item.key) {
      ++context.state.counters.malformed_entries;
      return false;
    }
    const InstallOutcome outcome =
        InstallAndForwardEntry(context, entry, EntrySource{{}, forward});
    if (outcome == InstallOutcome::kGap || outcome == InstallOutcome::kFork)
      return false;
  }
  return true;
}

StoreCall MakeReadLogCall(const ReleaseState& state) {
  StoreCall call;
  call.kind = StoreCallKind::kReadRange;
  call.key = EntryKey({InstalledRevisionNumber(state) + 1});
  call.end_key = LogRangeEnd();
  call.limit = state.settings.max_entries_per_read;
  return call;
}

}  // namespace poplarfork::release
