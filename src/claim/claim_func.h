#pragma once

#include <string>

#include "base/ids_type.h"
#include "base/time_type.h"
#include "claim/action_type.h"
#include "claim/claim_state_type.h"
#include "claim/event_type.h"

namespace poplarfork::claim {

// The claim core ensures that work which is not repeatable runs at most once
// for each key. A key that a caller supplies is claimed in a log in the store;
// the first claim of a key in the log determines the daemon that may run the
// work. Work with a minted key may be run only by the daemon that minted the
// key.
//
// Each function that handles an event takes the state and one event, and
// returns the actions to carry out, in order. The driver, which is the daemon's
// code for input and output, carries them out and serializes all calls.

// Returns the state of a daemon that has just started. The driver draws
// `secret` from the system's random device; it must differ in every
// incarnation.
ClaimState NewClaimState(const base::DaemonId& self,
                         base::Incarnation incarnation,
                         const MintSecret& secret,
                         base::TimePoint now);

// Serves POST /.poplarfork/v1/keys: returns a minted key for `account`.
std::string MintKeyFor(ClaimState& state,
                       const base::AccountId& account,
                       base::TimePoint now);

// Handles the arrival of a request for work that is not repeatable. Exactly one
// of the returned actions names the token of the request: `RunNow`, `Wait`,
// `RelayToDaemon` or `AnswerCaller`. A request without a key runs at once and
// leaves no record, unless the service requires a key.
Actions OnRequestArrived(ClaimState& state,
                         const ArrivedRequest& request,
                         base::TimePoint now);

// Records that the driver is about to write the first byte of a request to an
// upstream. The driver must call it before the write, so that no request that
// may have been sent is reported as not run.
void OnRequestSent(ClaimState& state, RequestToken token);

// Handles the end of a request's run. An action answers the caller of `token`,
// unless the upstream answered and the driver has passed on its response.
Actions OnRunFinished(ClaimState& state,
                      RequestToken token,
                      const RunResult& result,
                      base::TimePoint now);

// Handles a caller that closed its connection. A run whose request was sent
// goes on without the caller, so that a repeat finds the outcome. A run whose
// request was not sent is stopped.
Actions OnCallerDisconnected(ClaimState& state,
                             RequestToken token,
                             base::TimePoint now);

// Handles the deadline of a waiting request. At the deadline of a running
// request, the driver ends the run instead.
Actions OnDeadline(ClaimState& state, RequestToken token, base::TimePoint now);

// Handles a relayed request that got no complete answer. The outcome is unknown
// even if the relay was not sent, because an earlier send of the same work may
// have run.
Actions OnRelayFailed(ClaimState& state,
                      RequestToken token,
                      bool minted,
                      base::TimePoint now);

// Handles a `CLAIM` envelope from another daemon.
Actions OnClaimMessage(ClaimState& state,
                       const ClaimMessage& message,
                       base::TimePoint now);

// Handles a `CLAIM_RESULT` envelope from another daemon.
Actions OnClaimResult(ClaimState& state,
                      const ClaimResult& result,
                      base::TimePoint now);

// Handles the store's reply to an `AppendBatch`, or the timeout of that call.
Actions OnAppendReply(ClaimState& state,
                      const AppendReply& reply,
                      base::TimePoint now);

// Handles the store's reply to a `ReadLog`, or the timeout of that call.
Actions OnReadLogReply(ClaimState& state,
                       const ReadLogReply& reply,
                       base::TimePoint now);

// Handles a change of the list of live daemons. `live_daemons` contains this
// daemon.
void OnLiveDaemonsChanged(ClaimState& state,
                          std::vector<LiveDaemon> live_daemons);

// Handles a change of the store's reachability, as the store client sees it.
// While the store is unreachable, requests with caller-supplied keys are
// answered at once.
void OnStoreReachabilityChanged(ClaimState& state, bool reachable);

// Appends batches, checks timeouts and drops what has expired. The driver calls
// it every 50 to 200 ms.
Actions OnTick(ClaimState& state, base::TimePoint now);

}  // namespace poplarfork::claim
