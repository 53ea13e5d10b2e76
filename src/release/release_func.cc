#include "release/release_func.h"

#include <utility>

#include "release.pb.h"
#include "release/context_type.h"
#include "release/install_func.h"
#include "release/publish_func.h"
#include "release/pull_func.h"
#include "release/snapshot_writer_func.h"
#include "release/store_call_queue_func.h"
#include "release/sync_func.h"
#include "release/watch_func.h"

namespace poplarfork::release {

namespace {

// Passes the store's reply to the handler for the purpose of the call.
void DispatchStoreReply(Context& context,
                        const PendingCall& pending,
                        const StoreReply& reply) {
  switch (pending.purpose) {
    case StoreCallPurpose::kPublishRead:
    case StoreCallPurpose::kPublishCreate:
      return OnPublishReply(context, pending.purpose, reply);
    case StoreCallPurpose::kListSnapshots:
    case StoreCallPurpose::kReadSnapshotChunk:
    case StoreCallPurpose::kReadEntries:
      return OnSyncReply(context, pending.purpose, reply);
    case StoreCallPurpose::kPull:
      return OnPullReply(context, reply);
    case StoreCallPurpose::kWatch:
      return OnWatchReply(context, reply);
    case StoreCallPurpose::kWriteSnapshotChunk:
      return OnChunkWritten(context, pending.call, reply.kind);
    case StoreCallPurpose::kCompactLog:
    case StoreCallPurpose::kCompactSnapshots:
      return;
  }
}

// Handles each store call whose deadline has passed as one without a reply.
void FailOverdueCalls(Context& context) {
  for (const PendingCall& pending : TakeOverdueCalls(context)) {
    const StoreReply reply{pending.call.id, StoreReplyKind::kNoReply, {}};
    DispatchStoreReply(context, pending, reply);
  }
}

void OnEvent(Context& context, const Started& /*event*/) {
  StartSync(context);
}

void OnEvent(Context& context, const Tick& /*event*/) {
  FailOverdueCalls(context);
  SendQueuedCalls(context);
  TickSync(context);
  TickPull(context);
  TickPublish(context);
  TickWatch(context);
  TickSnapshotWriter(context);
}

void OnEvent(Context& context, const Resumed& /*event*/) {
  if (context.state.ready) {
    context.state.ready = false;
    context.actions.emplace_back(ReadinessChanged{false});
  }
  StartSync(context);
}

void OnEvent(Context& context, const MembersChanged& event) {
  context.state.members = event.members;
}

void OnEvent(Context& context, const VmListUpdated& event) {
  context.state.vm_list = event;
}

void OnEvent(Context& context, const PeerRevision& event) {
  if (!context.state.sync.active)
    PullEntries(context, event.peer, event.revision);
}

void OnEvent(Context& context, const PublishRequest& event) {
  OnPublishRequest(context, event);
}

void OnEvent(Context& context, const StoreReply& event) {
  auto& outstanding = context.state.store_calls.outstanding;
  const auto found = outstanding.find(event.call);
  if (found == outstanding.end())
    return;
  const PendingCall pending = std::move(found->second);
  outstanding.erase(found);
  DispatchStoreReply(context, pending, event);
}

// Parses the payload as a `Message` and passes it to `handler`. A payload that
// cannot be parsed is counted and ignored.
template <class Message, class Handler>
void ParseAndHandle(Context& context,
                    const std::string& payload,
                    Handler handler) {
  Message message;
  if (message.ParseFromString(payload))
    handler(message);
  else
    ++context.state.counters.malformed_messages;
}

void OnEvent(Context& context, const IncomingMessage& event) {
  const Member& sender = event.sender;
  switch (event.kind) {
    case proto::LOG_ENTRY:
      return ParseAndHandle<proto::EntryMessage>(
          context, event.payload, [&](const proto::EntryMessage& message) {
            OnEntryMessage(context, sender, message);
          });
    case proto::LOG_ENTRY_ACK:
      return ParseAndHandle<proto::EntryAck>(
          context, event.payload, [&](const proto::EntryAck& message) {
            OnEntryAck(context, sender.id, message);
          });
    case proto::ENTRY_REQUEST:
      return ParseAndHandle<proto::EntryRequest>(
          context, event.payload, [&](const proto::EntryRequest& message) {
            ServeEntries(context, sender.id, message);
          });
    case proto::SNAPSHOT_REQUEST:
      return ParseAndHandle<proto::SnapshotRequest>(
          context, event.payload, [&](const proto::SnapshotRequest& message) {
            ServeSnapshot(context, sender.id, message);
          });
    case proto::SNAPSHOT_CHUNK:
      return ParseAndHandle<proto::SnapshotChunk>(
          context, event.payload, [&](const proto::SnapshotChunk& message) {
            OnSnapshotChunkMessage(context, sender, message);
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
  state.store_calls.tokens = settings.store_call_burst;
  state.store_calls.refilled_at = now;
  return state;
}

Actions HandleEvent(ReleaseState& state,
                    const Event& event,
                    base::TimePoint now,
                    base::Rng& rng) {
  Actions actions;
  Context context{state, now, rng, actions};
  std::visit([&](const auto& concrete) { OnEvent(context, concrete); }, event);
  return actions;
}

}  // namespace poplarfork::release
