#include "daemon/member_name_func.h"

namespace poplarfork::daemon {

const char* MemberChangeName(membership::ChangeKind kind) {
  using membership::ChangeKind;
  switch (kind) {
    case ChangeKind::kJoined:
      return "joined";
    case ChangeKind::kRestarted:
      return "restarted";
    case ChangeKind::kSuspected:
      return "suspected";
    case ChangeKind::kRefuted:
      return "refuted";
    case ChangeKind::kLeaving:
      return "leaving";
    case ChangeKind::kLeft:
      return "left";
    case ChangeKind::kDied:
      return "died";
    case ChangeKind::kForgotten:
      return "forgotten";
    case ChangeKind::kLinkBroken:
      return "link_broken";
    case ChangeKind::kLinkRestored:
      return "link_restored";
    case ChangeKind::kListComplete:
      return "list_complete";
    case ChangeKind::kIncarnationOutdated:
      return "incarnation_outdated";
    case ChangeKind::kSelfDegraded:
      return "doubt_started";
    case ChangeKind::kSelfRecovered:
      break;
  }
  return "doubt_ended";
}

const char* MemberStateName(membership::MemberState state) {
  using membership::MemberState;
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kDead:
      break;
  }
  return "dead";
}

}  // namespace poplarfork::daemon
