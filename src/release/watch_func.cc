#include "release/watch_func.h"

#include <utility>

#include "release/learn_func.h"
#include "release/member_func.h"
#include "release/release_type.h"
#include "release/store_traffic_func.h"
#include "release/sync_func.h"

namespace poplarfork::release {

void TickWatch(Context& context) {
  ReleaseState& state = context.state;
  if (!state.ready || state.sync.active || context.now < state.watch.retry_at)
    return;
  if (IsCalling(state.traffic, StorePurpose::kWatch))
    return;
  if (!IsWatcher(state.self, state.members,
                 state.settings.watchers_per_data_centre)) {
    return;
  }
  StoreCall call = ReadLogCall(state);
  call.kind = StoreCallKind::kWatch;
  call.timeout = state.settings.watch_timeout;
  IssueStoreCall(context, StorePurpose::kWatch, std::move(call));
}

void OnWatchAnswer(Context& context, const StoreAnswer& answer) {
  ReleaseState& state = context.state;
  if (answer.kind == StoreAnswerKind::kNoAnswer) {
    state.watch.retry_at =
        context.now + Backoff(state.settings.first_backoff,
                              state.settings.longest_backoff,
                              state.watch.failures++, context.rng);
    return;
  }
  state.watch = WatchState{};
  // A gap means that the log was compacted beyond the revision that this daemon
  // has installed.
  if (!LearnItems(context, answer.items, true)) {
    StartSync(context);
    return;
  }
  TickWatch(context);
}

}  // namespace poplarfork::release
