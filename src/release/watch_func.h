#pragma once

#include "release/context_type.h"
#include "release/store_reply_type.h"

namespace poplarfork::release {

// Starts a watch on the log in the store if this daemon is ready, is a watcher
// of its data centre, and has no watch pending.
void TickWatch(Context& context);

// Handles the store's reply to a call with purpose kWatch.
void OnWatchReply(Context& context, const StoreReply& reply);

}  // namespace poplarfork::release
