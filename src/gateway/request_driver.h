#pragma once

#include <memory>

#include "edge/exchange.h"
#include "gateway/gateway_type.h"

namespace poplarfork::gateway {

// Returns whether a request may be processed while requests before it on the
// same connection have no response yet: its route must be repeatable, because
// the caller sends it again if the connection closes before its turn.
bool MayOverlap(const Gateway& gateway, const edge::HttpRequest& http_request);

// Starts to process a request of a caller, or rejects it.
void OnCallerRequest(Gateway& gateway,
                     const std::shared_ptr<edge::Exchange>& caller_exchange,
                     edge::HttpRequest http_request);

// Answers all requests in progress by `latest`, whatever their deadlines.
void LimitDeadlines(Gateway& gateway, base::TimePoint latest);

// Ends the request of a caller that has closed its connection.
void OnCallerDisconnected(Gateway& gateway,
                          const edge::Exchange& caller_exchange);

// These functions handle the replies of a dispatcher to a slot request. A grant
// for a request that has ended is reported back as unused.
void OnGrant(Gateway& gateway,
             const base::DaemonId& from,
             const dispatch::Grant& grant);
void OnQueuedNotice(Gateway& gateway, const dispatch::QueuedNotice& notice);
void OnRefusal(Gateway& gateway,
               const base::DaemonId& from,
               const dispatch::Refusal& refusal);

}  // namespace poplarfork::gateway
