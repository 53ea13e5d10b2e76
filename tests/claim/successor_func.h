#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "claim/record_func.h"
#include "tests/claim/message_event_func.h"
#include "tests/claim/successors_type.h"
#include "tests/claim/world_func.h"

// Generates all events that may come next in a state of the model.
namespace poplarfork::claim {

inline constexpr int kSendsPerOrder = 2;
inline constexpr base::Duration kAdvance = std::chrono::seconds(2);

// Returns whether the caller has a replacement key and knows that no send of
// the original key has run.
inline bool MayReplace(const World& world, int order) {
  const Order& wanted = world.orders[order];
  if (wanted.replacement.empty())
    return false;
  return std::ranges::all_of(world.sends, [order](const Send& send) {
    return send.order != order || send.replacement ||
           send.state == SendState::kNotRun;
  });
}

inline bool HasOpenSend(const World& world, int order) {
  return std::ranges::any_of(world.sends, [order](const Send& send) {
    return send.order == order && send.state == SendState::kOpen;
  });
}

// Adds the sends of callers. A caller sends its key at any time and to any
// daemon. It sends the replacement key once it knows that no earlier send has
// run.
inline void AddSends(Successors& next) {
  for (int order = 0; order < static_cast<int>(next.from.orders.size());
       ++order) {
    const Order& wanted = next.from.orders[order];
    const bool replace = MayReplace(next.from, order);
    if (wanted.sends >= kSendsPerOrder + (replace ? 1 : 0))
      continue;
    if (wanted.replaced && !replace)
      continue;
    if (wanted.serial && HasOpenSend(next.from, order))
      continue;
    for (int daemon = 0; daemon < kDaemons; ++daemon) {
      if (!next.from.nodes[daemon].alive)
        continue;
      for (const bool replacement : {false, true}) {
        const bool allowed =
            replacement ? replace
                        : !wanted.replaced && wanted.sends < kSendsPerOrder;
        if (!allowed)
          continue;
        Add(next, "send to " + IdOf(daemon).value, 0, [&](World& world) {
          Order& sent = world.orders[order];
          const std::uint64_t index = world.sends.size();
          world.sends.push_back({.order = order,
                                 .daemon = daemon,
                                 .replacement = replacement,
                                 .sole = sent.serial && sent.sends == 0});
          ++sent.sends;
          sent.replaced = sent.replaced || replacement;
          Arrive(world, daemon, index, std::nullopt);
        });
      }
    }
  }
}

inline void FinishRun(World& world, std::size_t index, RunEnd end) {
  const Run run = world.runs[index];
  world.runs.erase(world.runs.begin() + static_cast<std::ptrdiff_t>(index));
  if (end == RunEnd::kAnswered) {
    PassAnswer(world, run.daemon, run.token,
               {.status = 201, .outcome = Outcome::kSucceeded});
  }
  const RunOutcome outcome{.end = end, .reason = Reason::kNone, .status = 201};
  Handle(world, run.daemon, [&](ClaimState& state) {
    return OnRunFinished(state, run.token, outcome, world.now);
  });
}

inline void SendToUpstream(World& world, std::size_t index) {
  Run& run = world.runs[index];
  run.sent = true;
  const RequestToken token = run.token;
  Send& send = world.sends[token.value / kTokenStride];
  Order& order = world.orders[send.order];
  ++order.runs;
  if (order.runs > 1)
    world.violation = "second run of the same work";
  if (send.state == SendState::kNotRun)
    world.violation = "run after the answer not-run";
  Handle(world, run.daemon, [&](ClaimState& state) {
    OnRequestSent(state, token);
    return Actions();
  });
}

inline void AddRuns(Successors& next) {
  for (std::size_t index = 0; index < next.from.runs.size(); ++index) {
    if (!next.from.runs[index].sent) {
      Add(next, "run", 0, [&](World& world) { SendToUpstream(world, index); });
      Add(next, "no upstream", 1,
          [&](World& world) { FinishRun(world, index, RunEnd::kNotSent); });
      continue;
    }
    Add(next, "upstream answers", 0,
        [&](World& world) { FinishRun(world, index, RunEnd::kAnswered); });
    Add(next, "upstream connection lost", 1,
        [&](World& world) { FinishRun(world, index, RunEnd::kUnknown); });
  }
}

inline void Crash(World& world, int daemon, bool restart) {
  Node& node = world.nodes[daemon];
  const std::uint64_t incarnation = node.state->minter.incarnation.value;
  node.alive = restart;
  node.state = NewState(world, daemon, incarnation + 1);
  node.digest = DigestOf(*node.state);
  std::erase_if(world.runs,
                [daemon](const Run& run) { return run.daemon == daemon; });
  for (std::size_t index = 0; index < world.sends.size(); ++index) {
    const Send& send = world.sends[index];
    if (send.daemon == daemon || send.relayed_to == daemon)
      FinishSend(world, index, Outcome::kUnknown, "");
  }
}

inline std::vector<LiveDaemon> TrueMembers(const World& world) {
  std::vector<LiveDaemon> live;
  for (int daemon = 0; daemon < kDaemons; ++daemon) {
    if (world.nodes[daemon].alive) {
      live.push_back(
          {IdOf(daemon), world.nodes[daemon].state->minter.incarnation});
    }
  }
  return live;
}

// Returns whether a tick would have an effect.
inline bool TickMatters(const World& world, const ClaimState& state) {
  const bool late = std::ranges::any_of(state.runs, [&](const auto& entry) {
    return entry.second.phase == RunPhase::kClaiming &&
           entry.second.claimed_at < world.now;
  });
  return late || std::ranges::any_of(state.shards, [](const auto& entry) {
           return !entry.second.queue.empty();
         });
}

inline bool MembersChanged(const World& world, const ClaimState& state) {
  const std::vector<LiveDaemon> live = TrueMembers(world);
  return !std::ranges::equal(
      live, state.live, [](const LiveDaemon& left, const LiveDaemon& right) {
        return left.id == right.id && left.incarnation == right.incarnation;
      });
}

inline void AddDaemonEvents(Successors& next, int daemon) {
  const ClaimState& present = *next.from.nodes[daemon].state;
  const std::string id = IdOf(daemon).value;
  for (const bool restart : {false, true}) {
    Add(next, "crash of " + id, 1,
        [&](World& world) { Crash(world, daemon, restart); });
  }
  // A daemon that gets no ticks while the others continue represents a paused
  // daemon.
  if (TickMatters(next.from, present)) {
    Add(next, "tick of " + id, 0, [&](World& world) {
      Handle(world, daemon,
             [&](ClaimState& state) { return OnTick(state, world.now); });
    });
  }
  if (MembersChanged(next.from, present)) {
    Add(next, "live daemons change at " + id, 0, [&](World& world) {
      Handle(world, daemon, [&](ClaimState& state) {
        OnMembers(state, TrueMembers(world));
        return Actions();
      });
    });
  }
  const bool reachable = present.store_reachable;
  Add(next, "store reachability changes at " + id, reachable ? 1 : 0,
      [&](World& world) {
        Handle(world, daemon, [&](ClaimState& state) {
          OnStoreReachable(state, !reachable);
          return Actions();
        });
      });
  for (const auto& entry : present.runs) {
    const RunKey& key = entry.first;
    const RunRecord& record = entry.second;
    const bool at_rest = record.phase != RunPhase::kClaiming &&
                         record.phase != RunPhase::kRunning;
    if (key.minted || !at_rest)
      continue;
    Add(next, id + " drops a record", 1, [&](World& world) {
      Handle(world, daemon, [&](ClaimState& state) {
        EraseRecord(state, key);
        return Actions();
      });
    });
  }
  for (const auto& request : present.requests) {
    const RequestToken token = request.first;
    const std::uint64_t send = token.value / kTokenStride;
    Add(next, "deadline passes", 1, [&](World& world) {
      Handle(world, daemon, [&](ClaimState& state) {
        return OnDeadline(state, token, world.now);
      });
    });
    Add(next, "caller gone", 1, [&](World& world) {
      FinishSend(world, send, Outcome::kUnknown, "");
      Handle(world, daemon, [&](ClaimState& state) {
        return OnCallerGone(state, token, world.now);
      });
    });
  }
}

inline std::vector<World> SuccessorsOf(const World& world) {
  Successors next{.from = world};
  AddSends(next);
  AddMessages(next);
  AddRuns(next);
  for (int daemon = 0; daemon < kDaemons; ++daemon) {
    if (world.nodes[daemon].alive)
      AddDaemonEvents(next, daemon);
  }
  if (world.advances_left > 0) {
    Add(next, "time advances by 2 s", 0, [](World& later) {
      later.now += kAdvance;
      --later.advances_left;
    });
  }
  return std::move(next.worlds);
}

}  // namespace poplarfork::claim
