#pragma once

#include <memory>

#include "edge/session.h"
#include "gateway/gateway_type.h"

namespace poplarfork::gateway {

// Starts to process a request of a caller, or rejects it.
void OnCallerRequest(Gateway& gateway,
                     const std::shared_ptr<edge::Session>& session,
                     edge::HttpRequest http_request);

// Answers all requests in progress by `latest`, whatever their deadlines.
void LimitDeadlines(Gateway& gateway, base::TimePoint latest);

// Ends the request of a caller that has closed its connection.
void OnCallerDisconnected(Gateway& gateway, const edge::Session& session);

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
