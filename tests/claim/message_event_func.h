#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "tests/claim/successors_type.h"
#include "tests/claim/world_func.h"

// Events of the messages in flight: a message is delivered, lost, delayed or
// refused.
namespace poplarfork::claim {

inline void RemoveMessage(World& world, std::size_t index) {
  world.messages.erase(world.messages.begin() +
                       static_cast<std::ptrdiff_t>(index));
}

// Returns whether the sender still waits for the reply to `message`.
inline bool IsAwaitingReply(const World& world, const Message& message) {
  const Node& node = world.nodes[message.from];
  return node.alive && !message.timed_out &&
         node.state->key_generator.incarnation == message.incarnation;
}

inline void ReplyToAppend(World& world,
                          const Message& message,
                          AppendStatus status,
                          const std::optional<ClaimBatch>& existing) {
  if (!IsAwaitingReply(world, message))
    return;
  HandleEvent(world, message.from, [&](ClaimState& state) {
    return OnAppendReply(state,
                         {.shard = message.append.shard,
                          .entry_number = message.append.entry_number,
                          .status = status,
                          .existing = existing},
                         world.now);
  });
}

// Executes an append at the store. `answered` tells whether the daemon gets the
// reply.
inline void ExecuteAppend(World& world, const Message& message, bool answered) {
  std::vector<ClaimBatch>& log = world.logs[message.append.shard];
  const std::uint64_t number = message.append.entry_number;
  AppendStatus status = AppendStatus::kConflict;
  std::optional<ClaimBatch> existing;
  if (number == log.size() + 1) {
    log.push_back(message.append.batch);
    status = AppendStatus::kCreated;
  } else {
    existing = log.at(number - 1);
  }
  ReplyToAppend(world, message, answered ? status : AppendStatus::kNoReply,
                answered ? existing : std::nullopt);
}

inline void AddAppendEvents(Successors& next, std::size_t index) {
  const Message message = *next.from.messages[index];
  AddSuccessor(next, "append", 0, [&](World& world) {
    RemoveMessage(world, index);
    ExecuteAppend(world, message, true);
  });
  if (!IsAwaitingReply(next.from, message))
    return;
  AddSuccessor(next, "append with its reply lost", 1, [&](World& world) {
    RemoveMessage(world, index);
    ExecuteAppend(world, message, false);
  });
  AddSuccessor(next, "append delayed", 1, [&](World& world) {
    RemoveMessage(world, index);
    Message delayed = message;
    delayed.timed_out = true;
    PushMessage(world, delayed);
    ReplyToAppend(world, message, AppendStatus::kNoReply, std::nullopt);
  });
  AddSuccessor(next, "append refused", 1, [&](World& world) {
    RemoveMessage(world, index);
    ReplyToAppend(world, message, AppendStatus::kUnavailable, std::nullopt);
  });
}

inline void AddReadEvents(Successors& next, std::size_t index) {
  const Message message = *next.from.messages[index];
  for (const bool success : {true, false}) {
    AddSuccessor(next, success ? "read" : "read failed", success ? 0 : 1,
                 [&](World& world) {
                   RemoveMessage(world, index);
                   if (!IsAwaitingReply(world, message))
                     return;
                   const std::vector<ClaimBatch>& log =
                       world.logs[message.read_log.shard];
                   ReadLogReply reply{.shard = message.read_log.shard,
                                      .success = success};
                   const auto known = static_cast<std::ptrdiff_t>(
                       message.read_log.first_entry_number - 1);
                   if (success)
                     reply.entries.assign(log.begin() + known, log.end());
                   HandleEvent(world, message.from, [&](ClaimState& state) {
                     return OnReadLogReply(state, reply, world.now);
                   });
                 });
  }
}

inline void DeliverMessage(World& world, const Message& message) {
  if (!world.nodes[message.to].alive)
    return;
  HandleEvent(world, message.to, [&](ClaimState& state) {
    if (message.kind == MessageKind::kClaim)
      return OnClaimMessage(state, message.claim_message, world.now);
    // The envelope does not name the claimant's incarnation, so the receiver
    // takes the result for one of its current incarnation.
    ClaimResult result = message.claim_result;
    result.claim.claimant.incarnation = state.key_generator.incarnation;
    return OnClaimResult(state, result, world.now);
  });
}

inline void FailRelay(World& world, const Message& message) {
  if (!IsAwaitingReply(world, message))
    return;
  HandleEvent(world, message.from, [&](ClaimState& state) {
    return OnRelayFailed(state, message.relay.token, message.relay.minted,
                         world.now);
  });
}

inline void AddRelayEvents(Successors& next, std::size_t index) {
  const Message message = *next.from.messages[index];
  AddSuccessor(next, "relay", 0, [&](World& world) {
    RemoveMessage(world, index);
    if (!world.nodes[message.to].alive) {
      FailRelay(world, message);
      return;
    }
    DeliverRequest(world, message.to, message.send,
                   RelayInfo{.incarnation = message.relay.incarnation,
                             .attempt = message.relay.attempt});
  });
  if (!IsAwaitingReply(next.from, message))
    return;
  AddSuccessor(next, "relay times out", 1, [&](World& world) {
    RemoveMessage(world, index);
    Message delayed = message;
    delayed.timed_out = true;
    PushMessage(world, delayed);
    FailRelay(world, message);
  });
}

inline void AddMessageEvents(Successors& next) {
  for (std::size_t index = 0; index < next.from.messages.size(); ++index) {
    const Message& message = *next.from.messages[index];
    switch (message.kind) {
      case MessageKind::kAppend:
        AddAppendEvents(next, index);
        break;
      case MessageKind::kRead:
        AddReadEvents(next, index);
        break;
      case MessageKind::kRelay:
        AddRelayEvents(next, index);
        break;
      case MessageKind::kRelayAnswer:
        for (const bool lost : {false, true}) {
          AddSuccessor(next, lost ? "relayed answer lost" : "relayed answer",
                       lost ? 1 : 0, [&](World& world) {
                         RemoveMessage(world, index);
                         FinishSend(
                             world, message.send,
                             lost ? Outcome::kUnknown : message.answer.outcome,
                             message.answer.minted_key);
                       });
        }
        break;
      case MessageKind::kClaim:
      case MessageKind::kResult:
        // A message that is never delivered represents a lost one, so there is
        // no event for the loss.
        AddSuccessor(next, "deliver", 0, [&](World& world) {
          RemoveMessage(world, index);
          DeliverMessage(world, message);
        });
        break;
    }
  }
}

}  // namespace poplarfork::claim
