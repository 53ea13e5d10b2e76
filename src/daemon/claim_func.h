#pragma once

#include "claim/action_type.h"
#include "claim/event_type.h"
#include "daemon/daemon_type.h"
#include "daemon/problem_type.h"

namespace poplarfork::daemon {

// Passes a request that is not repeatable to the claim core, which decides
// whether the request runs here, waits, is relayed to another daemon or gets a
// response at once.
void HandleNonRepeatableRequest(Daemon& daemon, const RequestPtr& request);

// Executes the actions that the claim core has decided on.
void ExecuteClaimActions(Daemon& daemon, const claim::Actions& actions);

// Tells the claim core that the run of a claimed request ended without a
// response of an upstream.
void EndClaimedRunWithProblem(Daemon& daemon,
                              const RequestPtr& request,
                              const Problem& problem);

// Tells the claim core that the run of a claimed request ended with `response`,
// which the claim core retains if it is small enough. The caller of this
// function also sends the response to the caller of the request.
void EndClaimedRunWithResponse(Daemon& daemon,
                               const RequestPtr& request,
                               const edge::HttpResponse& response);

// Tells the claim core that the run of a claimed request ended with a response
// that was streamed and is too long to be retained. `is_complete` is true if
// the complete response was received.
void EndClaimedRunAfterStream(Daemon& daemon,
                              const RequestPtr& request,
                              bool is_complete);

// Tells the claim core that the attempt that relayed a request to another
// daemon got no complete response.
void OnRelayFailed(Daemon& daemon, const RequestPtr& request);

// Returns the response to POST /.poplarfork/v1/keys, which contains a
// newly minted key.
edge::HttpResponse MakeMintedKeyResponse(Daemon& daemon,
                                         const edge::HttpRequest& request);

}  // namespace poplarfork::daemon
