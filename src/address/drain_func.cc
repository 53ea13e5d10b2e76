#include "address/drain_func.h"

namespace poplarfork::address {

namespace {

DrainActions FinishDrain(Drain& drain,
                         std::size_t requests_in_flight,
                         base::TimePoint now) {
  if (requests_in_flight == 0) {
    drain.phase = DrainPhase::kDone;
    return {DrainAction::kExit};
  }
  if (now < drain.phase_end)
    return {};
  drain.phase = DrainPhase::kDone;
  return {DrainAction::kAbortRequests, DrainAction::kExit};
}

}  // namespace

DrainActions StartDrain(Drain& drain, base::TimePoint now) {
  if (drain.phase != DrainPhase::kServing)
    return {};
  drain.phase = DrainPhase::kWaitingForCaches;
  drain.phase_end = now + drain.answer_lifetime + kLeavingNoticeMargin;
  return {DrainAction::kAnnounceLeaving};
}

DrainActions HandleSigterm(Drain& drain, base::TimePoint now) {
  if (drain.phase == DrainPhase::kServing)
    return StartDrain(drain, now);
  drain.phase = DrainPhase::kDone;
  return {DrainAction::kExit};
}

DrainActions AdvanceDrain(Drain& drain,
                          std::size_t requests_in_flight,
                          base::TimePoint now) {
  if (drain.phase == DrainPhase::kFinishing)
    return FinishDrain(drain, requests_in_flight, now);
  if (drain.phase != DrainPhase::kWaitingForCaches || now < drain.phase_end)
    return {};
  drain.phase = DrainPhase::kFinishing;
  drain.phase_end = now + drain.drain_limit;
  DrainActions actions = {DrainAction::kStopAccepting};
  const DrainActions finish_actions =
      FinishDrain(drain, requests_in_flight, now);
  actions.insert(actions.end(), finish_actions.begin(), finish_actions.end());
  return actions;
}

bool IsAccepting(const Drain& drain) {
  return drain.phase == DrainPhase::kServing ||
         drain.phase == DrainPhase::kWaitingForCaches;
}

}  // namespace poplarfork::address
