#include "request/waiting_func.h"

namespace poplarfork::request {

bool IsWaiting(const Request& request) {
  const bool has_open_slot_request = request.phase == Phase::kRequestingSlot ||
                                     request.phase == Phase::kQueued;
  return has_open_slot_request && !request.attempt && request.sends == 0;
}

Actions EndWaiting(Request& request, Failure failure) {
  Actions actions;
  if (!IsWaiting(request))
    return actions;
  request.phase = Phase::kEnded;
  actions.push_back(SendWithdrawal{
      request.asked_dispatcher, dispatch::Withdrawal{request.slot_request_id}});
  actions.push_back(
      RespondWithFailure{failure, request.possible_runs == 0, {}});
  return actions;
}

}  // namespace poplarfork::request
