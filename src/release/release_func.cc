#include "release/release_func.h"

#include <utility>

#include "release.pb.h"
#include "release/context_type.h"
#include "release/install_func.h"
#include "release/publish_func.h"
#include "release/pull_func.h"
#include "release/snapshot_writer_func.h"
#include "release/store_traffic_func.h"
#include "release/sync_func.h"
#include "release/watch_func.h"

namespace poplarfork::release {

namespace {

// Passes the store's reply to the handler for the purpose of the call.
void Dispatch(Context& context,
              const PendingCall& pending,
              const StoreAnswer& answer) {
  switch (pending.purpose) {
    case StorePurpose::kPublishRead:
    case StorePurpose::kPublishCreate:
      return OnPublishAnswer(context, pending.purpose, answer);
    case StorePurpose::kListSnapshots:
    case StorePurpose::kReadChunk:
    case StorePurpose::kReadEntries:
      return OnSyncAnswer(context, pending.purpose, answer);
    case StorePurpose::kPull:
      return OnPullAnswer(context, answer);
    case StorePurpose::kWatch:
      return OnWatchAnswer(context, answer);
    case StorePurpose::kWriteChunk:
      return OnChunkWritten(context, pending.call, answer.kind);
    case StorePurpose::kCompactLog:
    case StorePurpose::kCompactSnapshots:
      return;
  }
}

// Handles each store call whose deadline has passed as one without a reply.
void FailOverdueCalls(Context& context) {
  for (const PendingCall& pending : TakeOverdueCalls(context)) {
    const StoreAnswer answer{pending.call.id, StoreAnswerKind::kNoAnswer, {}};
    Dispatch(context, pending, answer);
  }
}

void On(Context& context, const Started& /*event*/) {
  StartSync(context);
}

void On(Context& context, const Tick& /*event*/) {
  FailOverdueCalls(context);
  SendWaitingCalls(context);
  TickSync(context);
  TickPull(context);
  TickPublish(context);
  TickWatch(context);
  TickSnapshotWriter(context);
}

void On(Context& context, const Resumed& /*event*/) {
  if (context.state.ready) {
    context.state.ready = false;
    context.actions.emplace_back(ReadyChanged{false});
  }
  StartSync(context);
}

void On(Context& context, const MembersChanged& event) {
  context.state.members = event.members;
}

void On(Context& context, const VmListSeen& event) {
  context.state.vm_list = event;
}

void On(Context& context, const PeerRevision& event) {
  if (!context.state.sync.active)
    PullFrom(context, event.peer, event.revision);
}

void On(Context& context, const PublishRequest& event) {
  OnPublishRequest(context, event);
}

void On(Context& context, const StoreAnswer& event) {
  auto& outstanding = context.state.traffic.outstanding;
  const auto found = outstanding.find(event.call);
  if (found == outstanding.end())
    return;
  const PendingCall pending = std::move(found->second);
  outstanding.erase(found);
  Dispatch(context, pending, event);
}

// Parses the payload as a `Message` and passes it to `handler`. A payload that
// cannot be parsed is counted and ignored.
template <class Message, class Handle>
void WithPayload(Context& context, const std::string& payload, Handle handle) {
  Message message;
  if (message.ParseFromString(payload))
    handle(message);
  else
    ++context.state.counters.malformed_messages;
}

void On(Context& context, const IncomingMessage& event) {
  const Member& sender = event.sender;
  switch (event.kind) {
    case proto::LOG_ENTRY:
      return WithPayload<proto::EntryMessage>(
          context, event.payload, [&](const proto::EntryMessage& message) {
            OnEntryMessage(context, sender, message);
          });
    case proto::LOG_ENTRY_ACK:
      return WithPayload<proto::EntryAck>(
          context, event.payload, [&](const proto::EntryAck& message) {
            OnEntryAck(context, sender.id, message);
          });
    case proto::ENTRY_REQUEST:
      return WithPayload<proto::EntryRequest>(
          context, event.payload, [&](const proto::EntryRequest& message) {
            ServeEntries(context, sender.id, message);
          });
    case proto::SNAPSHOT_REQUEST:
      return WithPayload<proto::SnapshotRequest>(
          context, event.payload, [&](const proto::SnapshotRequest& message) {
            ServeSnapshot(context, sender.id, message);
          });
    case proto::SNAPSHOT_CHUNK:
      return WithPayload<proto::SnapshotChunk>(
          context, event.payload, [&](const proto::SnapshotChunk& message) {
            OnChunkMessage(context, sender, message);
          });
    default:
      ++context.state.counters.malformed_messages;
  }
}

}  // namespace

ReleaseState MakeReleaseState(const Member& self,
                              const ReleaseSettings& settings,
                              base::TimePoint now) {
  ReleaseState state;
  state.self = self;
  state.settings = settings;
  state.install = EmptyInstallState();
  state.traffic.tokens = settings.store_call_burst;
  state.traffic.refilled = now;
  return state;
}

Actions Handle(ReleaseState& state,
               const Event& event,
               base::TimePoint now,
               base::Rng& rng) {
  Actions actions;
  Context context{state, now, rng, actions};
  std::visit([&](const auto& concrete) { On(context, concrete); }, event);
  return actions;
}

}  // namespace poplarfork::release
