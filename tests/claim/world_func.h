#pragma once

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "claim/claim_func.h"
#include "tests/claim/digest_func.h"
#include "tests/claim/world_type.h"

// Carries out the actions of the daemons in a model of the fleet, and checks
// the invariants: no work runs twice, and no work that an answer calls "not
// run" has run or runs later.
namespace poplarfork::claim {

inline base::DaemonId IdOf(int daemon) {
  return {"10.0.0." + std::to_string(daemon + 1) + ":7000"};
}

inline int IndexOf(const base::DaemonId& id) {
  return id.value[7] - '1';
}

inline void PushMessage(World& world, Message message) {
  message.digest = DigestOf(message);
  world.messages.push_back(std::make_shared<const Message>(std::move(message)));
}

inline const std::string& KeyOf(const World& world, const Send& send) {
  const Order& order = world.orders[send.order];
  return send.uses_replacement ? order.replacement_key : order.key;
}

// Ends a send with the outcome that its caller sees.
inline void FinishSend(World& world,
                       std::uint64_t index,
                       Outcome outcome,
                       const std::string& minted_key) {
  Send& send = world.sends[index];
  if (send.state != SendState::kPending)
    return;
  Order& order = world.orders[send.order];
  if (outcome == Outcome::kUnknown) {
    send.state = SendState::kUnknown;
  } else if (outcome != Outcome::kNotRun) {
    send.state = SendState::kAnswered;
  } else {
    send.state = SendState::kNotRun;
    if (order.serial && order.runs > 0)
      world.violation = "answer not-run for work that has run";
    if (order.replacement_key.empty() && !send.uses_replacement)
      order.replacement_key = minted_key;
  }
}

// Passes an answer of a daemon to the caller, or to the daemon that relayed the
// request. The outcome "not run" must be true when a daemon states it. If the
// caller sends again before it has the answer, the other send may run while the
// answer is in flight. If the caller sends serially, the outcome must still be
// true when the answer arrives.
inline void ReturnAnswer(World& world,
                         int daemon,
                         RequestToken token,
                         const Answer& answer) {
  const std::uint64_t send = token.value / kTokenStride;
  if (answer.outcome == Outcome::kNotRun &&
      world.orders[world.sends[send].order].runs > 0) {
    world.violation = "answer not-run for work that has run";
  }
  if (token.value % kTokenStride == 0) {
    FinishSend(world, send, answer.outcome, answer.minted_key);
    return;
  }
  PushMessage(world, {.kind = MessageKind::kRelayAnswer,
                      .from = daemon,
                      .to = world.sends[send].daemon,
                      .send = send,
                      .answer = answer});
}

inline void ApplyAction(World& world, int daemon, const Action& action) {
  const base::Incarnation incarnation =
      world.nodes[daemon].state->key_generator.incarnation;
  Message message{.from = daemon, .incarnation = incarnation};
  if (const auto* run = std::get_if<RunNow>(&action)) {
    world.runs.push_back({.daemon = daemon, .token = run->token});
  } else if (const auto* stop = std::get_if<StopRun>(&action)) {
    std::erase_if(world.runs, [&](const Run& other) {
      if (other.token == stop->token && other.sent)
        world.violation = "run stopped after its request was sent";
      return other.daemon == daemon && other.token == stop->token;
    });
  } else if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
    ReturnAnswer(world, daemon, answer->token, answer->answer);
  } else if (const auto* relay = std::get_if<RelayToDaemon>(&action)) {
    message.kind = MessageKind::kRelay;
    message.to = IndexOf(relay->daemon);
    message.relay = *relay;
    message.send = relay->token.value / kTokenStride;
    world.sends[message.send].relayed_to = message.to;
    PushMessage(world, message);
  } else if (const auto* claim = std::get_if<SendClaim>(&action)) {
    message.kind = MessageKind::kClaim;
    message.to = IndexOf(claim->to);
    message.claim_message = claim->message;
    PushMessage(world, message);
  } else if (const auto* result = std::get_if<SendClaimResult>(&action)) {
    message.kind = MessageKind::kResult;
    message.to = IndexOf(result->to);
    message.claim_result = result->result;
    PushMessage(world, message);
  } else if (const auto* append = std::get_if<AppendBatch>(&action)) {
    message.kind = MessageKind::kAppend;
    message.append = *append;
    PushMessage(world, message);
  } else if (const auto* read = std::get_if<ReadLog>(&action)) {
    message.kind = MessageKind::kRead;
    message.read_log = *read;
    PushMessage(world, message);
  }
}

// Applies an event to one daemon and carries out the resulting actions.
template <class Event>
void HandleEvent(World& world, int daemon, Event event) {
  Node& node = world.nodes[daemon];
  auto state = std::make_shared<ClaimState>(*node.state);
  const Actions actions = event(*state);
  node.digest = DigestOf(*state);
  node.state = std::move(state);
  for (const Action& action : actions)
    ApplyAction(world, daemon, action);
  std::ranges::sort(world.runs);
}

inline void DeliverRequest(World& world,
                           int daemon,
                           std::uint64_t index,
                           std::optional<RelayInfo> relay_info) {
  const Send& send = world.sends[index];
  const std::uint64_t token = index * kTokenStride + (relay_info ? 1 : 0);
  const ArrivedRequest request{.token = {token},
                               .account = {"acme"},
                               .key = KeyOf(world, send),
                               .first_send = send.first_send,
                               .relay_info = relay_info};
  HandleEvent(world, daemon, [&](ClaimState& state) {
    return OnRequestArrived(state, request, world.now);
  });
}

inline std::shared_ptr<const ClaimState>
NewDaemonState(const World& world, int daemon, std::uint64_t incarnation) {
  const MintSecret secret = {static_cast<unsigned char>(daemon),
                             static_cast<unsigned char>(incarnation)};
  auto state = std::make_shared<ClaimState>(
      NewClaimState(IdOf(daemon), {incarnation}, secret, world.now));
  state->live_daemons.clear();
  for (int other = 0; other < kDaemonCount; ++other) {
    const Node& node = world.nodes[other];
    const base::Incarnation known = node.state
                                        ? node.state->key_generator.incarnation
                                        : base::Incarnation{1};
    state->live_daemons.push_back(
        {IdOf(other),
         other == daemon ? base::Incarnation{incarnation} : known});
  }
  return state;
}

}  // namespace poplarfork::claim
