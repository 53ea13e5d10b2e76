#pragma once

#include "base/time_type.h"
#include "claim/action_type.h"
#include "claim/claim_state_type.h"
#include "claim/run_record_type.h"

// Functions that the event handlers of the claim core share. The daemon does
// not call them.
namespace poplarfork::claim {

// Returns the record of `key`, or null.
RunRecord* FindRecord(ClaimState& state, const RunKey& key);

// Returns the record of the key with which `token` waits or runs, or null.
RunRecord* FindRecordOfRequest(ClaimState& state, RequestToken token);

// Makes room for one more record by dropping the oldest inactive records of
// caller-supplied keys. Returns false if there is no room.
bool MakeRoomForRecord(ClaimState& state);

// Drops a record together with its retained response.
void EraseRecord(ClaimState& state, const RunKey& key);

// Retains the response of a finished run, and drops the oldest responses if
// there is no room for it.
void RetainResponse(ClaimState& state,
                    const RunKey& key,
                    std::shared_ptr<const RetainedResponse> response,
                    base::TimePoint now);

// Schedules the record to be dropped at the end of its lifetime. Must be called
// whenever a record becomes inactive.
void ScheduleExpiry(ClaimState& state, const RunKey& key, base::TimePoint now);

// Drops the records and responses that have expired.
void DropExpired(ClaimState& state, base::TimePoint now);

// Answers a request and removes it from the state.
void AnswerRequest(ClaimState& state,
                   RequestToken token,
                   Answer answer,
                   Actions& actions);

// Answers all requests that wait for `record`.
void AnswerWaiters(ClaimState& state,
                   RunRecord& record,
                   const Answer& answer,
                   Actions& actions);

// Runs a request whose key this incarnation owns.
void StartRun(RunRecord& record, RequestToken token, Actions& actions);

}  // namespace poplarfork::claim
