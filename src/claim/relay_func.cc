#include "claim/relay_func.h"

#include <algorithm>

#include "claim/claim_func.h"
#include "claim/claim_limits_type.h"

namespace poplarfork::claim {

namespace {

constexpr int kConflict = 409;
constexpr int kBadGateway = 502;

Answer OwnerUnreachableAnswer(bool minted) {
  return {
      .status = kBadGateway,
      .outcome = Outcome::kUnknown,
      .reason = minted ? Reason::kMinterUnreachable : Reason::kOwnerUnreachable,
      .retry_after = kShortRetryAfter};
}

}  // namespace

Answer OwnerGoneAnswer(bool minted) {
  return {.status = kConflict,
          .outcome = Outcome::kUnknown,
          .reason = minted ? Reason::kMinterGone : Reason::kOwnerGone};
}

Action RelayOrAnswer(const ClaimState& state,
                     RequestToken token,
                     const Claimant& owner,
                     bool minted) {
  if (owner.daemon == state.key_generator.self)
    return AnswerCaller{.token = token, .answer = OwnerGoneAnswer(minted)};
  const auto live_daemon =
      std::ranges::find(state.live_daemons, owner.daemon, &LiveDaemon::id);
  if (live_daemon == state.live_daemons.end())
    return AnswerCaller{.token = token,
                        .answer = OwnerUnreachableAnswer(minted)};
  if (live_daemon->incarnation > owner.incarnation)
    return AnswerCaller{.token = token, .answer = OwnerGoneAnswer(minted)};
  return RelayToDaemon{.token = token,
                       .daemon = owner.daemon,
                       .incarnation = owner.incarnation,
                       .attempt = owner.attempt,
                       .minted = minted};
}

Actions OnRelayFailed(ClaimState& state,
                      RequestToken token,
                      bool minted,
                      base::TimePoint /*now*/) {
  state.request_keys.erase(token);
  return {
      AnswerCaller{.token = token, .answer = OwnerUnreachableAnswer(minted)}};
}

}  // namespace poplarfork::claim
