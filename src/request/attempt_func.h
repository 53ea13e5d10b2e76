#pragma once

#include "request/action_type.h"
#include "request/attempt_end_type.h"
#include "request/request_type.h"

namespace poplarfork::request {

// Why attempts in progress are given up.
enum class CancelCause {
  // The deadline of the request has passed.
  kDeadline,
  // Another attempt has completed the request.
  kCompleted,
  // The caller does not wait any more.
  kCallerDisconnected,
};

// Returns the attempt in progress with this id, or null.
const Attempt* FindAttempt(const Request& request, dispatch::AttemptId id);

// Starts an attempt on the dispatcher's grant.
void BeginAttempt(Request& request,
                  const base::DaemonId& from,
                  const dispatch::Grant& grant,
                  base::TimePoint now,
                  Actions& actions);

// Removes an attempt that has ended and reports it to its dispatcher.
void FinishAttempt(Request& request, const AttemptEnd& end, Actions& actions);

// Cancels all attempts in progress and reports them to their dispatchers.
void CancelAttempts(Request& request,
                    CancelCause cause,
                    base::TimePoint now,
                    Actions& actions);

// Tells the dispatchers of attempts that take long that the daemon still waits
// for their responses, once for each attempt.
void ReportStalls(Request& request, base::TimePoint now, Actions& actions);

// Adds an upstream to those that must not be granted again. The last one is
// that of the attempt that was started last.
void AvoidUpstream(Request& request, const base::UpstreamId& upstream);

// Tells whether the request may be sent once more after an attempt with this
// result.
bool MayRetry(const Request& request,
              AttemptResult result,
              base::TimePoint now);

// Tells whether enough time is left for another attempt.
bool HasTimeForAttempt(const Request& request, base::TimePoint now);

// Tells whether so few connections have failed that another may be tried.
bool MayConnectAgain(const Request& request);

}  // namespace poplarfork::request
