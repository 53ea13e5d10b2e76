#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "tests/claim/successors_type.h"
#include "tests/claim/world_func.h"

// Events of the messages in flight: a message is delivered, lost, delayed or
// refused.
namespace poplarfork::claim {

inline void Take(World& world, std::size_t index) {
  world.messages.erase(world.messages.begin() +
                       static_cast<std::ptrdiff_t>(index));
}

// Returns whether the sender still waits for the reply to `message`.
inline bool Waiting(const World& world, const Message& message) {
  const Node& node = world.nodes[message.from];
  return node.alive && !message.given_up &&
         node.state->minter.incarnation == message.incarnation;
}

inline void AnswerAppend(World& world,
                         const Message& message,
                         AppendStatus status,
                         const std::optional<ClaimBatch>& found) {
  if (!Waiting(world, message))
    return;
  Handle(world, message.from, [&](ClaimState& state) {
    return OnAppendAnswered(state,
                            {.shard = message.append.shard,
                             .number = message.append.number,
                             .status = status,
                             .found = found},
                            world.now);
  });
}

// Executes an append at the store. `answered` tells whether the daemon gets the
// reply.
inline void Execute(World& world, const Message& message, bool answered) {
  std::vector<ClaimBatch>& log = world.logs[message.append.shard];
  const std::uint64_t number = message.append.number;
  AppendStatus status = AppendStatus::kConflict;
  std::optional<ClaimBatch> found;
  if (number == log.size() + 1) {
    log.push_back(message.append.batch);
    status = AppendStatus::kCreated;
  } else {
    found = log.at(number - 1);
  }
  AnswerAppend(world, message, answered ? status : AppendStatus::kNoAnswer,
               answered ? found : std::nullopt);
}

inline void AddAppend(Successors& next, std::size_t index) {
  const Message message = *next.from.messages[index];
  Add(next, "append", 0, [&](World& world) {
    Take(world, index);
    Execute(world, message, true);
  });
  if (!Waiting(next.from, message))
    return;
  Add(next, "append with its reply lost", 1, [&](World& world) {
    Take(world, index);
    Execute(world, message, false);
  });
  Add(next, "append delayed", 1, [&](World& world) {
    Take(world, index);
    Message late = message;
    late.given_up = true;
    Push(world, late);
    AnswerAppend(world, message, AppendStatus::kNoAnswer, std::nullopt);
  });
  Add(next, "append refused", 1, [&](World& world) {
    Take(world, index);
    AnswerAppend(world, message, AppendStatus::kUnavailable, std::nullopt);
  });
}

inline void AddRead(Successors& next, std::size_t index) {
  const Message message = *next.from.messages[index];
  for (const bool ok : {true, false}) {
    Add(next, ok ? "read" : "read failed", ok ? 0 : 1, [&](World& world) {
      Take(world, index);
      if (!Waiting(world, message))
        return;
      const std::vector<ClaimBatch>& log = world.logs[message.read.shard];
      LogRead read{.shard = message.read.shard, .ok = ok};
      const auto known = static_cast<std::ptrdiff_t>(message.read.from - 1);
      if (ok)
        read.entries.assign(log.begin() + known, log.end());
      Handle(world, message.from, [&](ClaimState& state) {
        return OnLogRead(state, read, world.now);
      });
    });
  }
}

inline void DeliverMessage(World& world, const Message& message) {
  if (!world.nodes[message.to].alive)
    return;
  Handle(world, message.to, [&](ClaimState& state) {
    if (message.kind == MessageKind::kClaim)
      return OnClaimMessage(state, message.claim, world.now);
    // The envelope does not name the claimant's incarnation, so the receiver
    // takes the result for one of its current incarnation.
    ClaimResult result = message.result;
    result.entry.claimant.incarnation = state.minter.incarnation;
    return OnClaimResult(state, result, world.now);
  });
}

inline void FailRelay(World& world, const Message& message) {
  if (!Waiting(world, message))
    return;
  Handle(world, message.from, [&](ClaimState& state) {
    return OnRelayFailed(state, message.relay.token, message.relay.minted,
                         world.now);
  });
}

inline void AddRelay(Successors& next, std::size_t index) {
  const Message message = *next.from.messages[index];
  Add(next, "relay", 0, [&](World& world) {
    Take(world, index);
    if (!world.nodes[message.to].alive) {
      FailRelay(world, message);
      return;
    }
    Arrive(world, message.to, message.send,
           RelayInfo{.incarnation = message.relay.incarnation,
                     .attempt = message.relay.attempt});
  });
  if (!Waiting(next.from, message))
    return;
  Add(next, "relay times out", 1, [&](World& world) {
    Take(world, index);
    Message late = message;
    late.given_up = true;
    Push(world, late);
    FailRelay(world, message);
  });
}

inline void AddMessages(Successors& next) {
  for (std::size_t index = 0; index < next.from.messages.size(); ++index) {
    const Message& message = *next.from.messages[index];
    switch (message.kind) {
      case MessageKind::kAppend:
        AddAppend(next, index);
        break;
      case MessageKind::kRead:
        AddRead(next, index);
        break;
      case MessageKind::kRelay:
        AddRelay(next, index);
        break;
      case MessageKind::kRelayAnswer:
        for (const bool lost : {false, true}) {
          Add(next, lost ? "relayed answer lost" : "relayed answer",
              lost ? 1 : 0, [&](World& world) {
                Take(world, index);
                FinishSend(world, message.send,
                           lost ? Outcome::kUnknown : message.answer.outcome,
                           message.answer.minted_key);
              });
        }
        break;
      case MessageKind::kClaim:
      case MessageKind::kResult:
        // A message that is never delivered represents a lost one, so there is
        // no event for the loss.
        Add(next, "deliver", 0, [&](World& world) {
          Take(world, index);
          DeliverMessage(world, message);
        });
        break;
    }
  }
}

}  // namespace poplarfork::claim
