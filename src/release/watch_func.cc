#include "release/watch_func.h"

#include <utility>

#include "release/log_entry_func.h"
#include "release/member_func.h"
#include "release/release_type.h"
#include "release/store_call_queue_func.h"
#include "release/sync_func.h"

namespace poplarfork::release {

void TickWatch(Context& context) {
  ReleaseState& state = context.state;
  if (!state.ready || state.sync.active || context.now < state.watch.retry_at)
    return;
  if (HasPendingCall(state.store_calls, StoreCallPurpose::kWatch))
    return;
  if (!IsWatcher(state.self, state.members,
                 state.settings.watchers_per_data_centre)) {
    return;
  }
  StoreCall call = MakeReadLogCall(state);
  call.kind = StoreCallKind::kWatch;
  call.timeout = state.settings.watch_timeout;
  IssueStoreCall(context, StoreCallPurpose::kWatch, std::move(call));
}

void OnWatchReply(Context& context, const StoreReply& reply) {
  ReleaseState& state = context.state;
  if (reply.kind == StoreReplyKind::kNoReply) {
    state.watch.retry_at =
        context.now + BackoffDelay(state.settings.initial_backoff,
                                   state.settings.max_backoff,
                                   state.watch.failures++, context.rng);
    return;
  }
  state.watch = WatchState{};
  // The items cannot be installed. The usual cause is a gap, which means that
  // the log was compacted beyond the revision that this daemon has installed.
  if (!InstallStoreItems(context, reply.items, true)) {
    StartSync(context);
    return;
  }
  TickWatch(context);
}

}  // namespace poplarfork::release
