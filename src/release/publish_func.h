#pragma once

#include "release.pb.h"
#include "release/context_type.h"
#include "release/publish_type.h"
#include "release/store_call_queue_type.h"
#include "release/store_reply_type.h"

namespace poplarfork::release {

// Parses the note and queues its publication, or rejects the request at once.
void OnPublishRequest(Context& context, const PublishRequest& request);

// Handles the store's reply to a call with purpose kPublishRead or
// kPublishCreate.
void OnPublishReply(Context& context,
                    StoreCallPurpose purpose,
                    const StoreReply& reply);

// Handles a LOG_ENTRY_ACK message from a peer.
void OnEntryAck(Context& context,
                const base::DaemonId& peer,
                const proto::EntryAck& ack);

// Retries the current publication when its retry time has come, and ends it
// when its deadline has passed.
void TickPublish(Context& context);

}  // namespace poplarfork::release
