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
inline constexpr base::Duration kTimeStep = std::chrono::seconds(2);

// Returns whether the caller has a replacement key and knows that no send of
// the original key has run.
inline bool MaySendReplacement(const World& world, int order) {
  const Order& wanted = world.orders[order];
  if (wanted.replacement_key.empty())
    return false;
  return std::ranges::all_of(world.sends, [order](const Send& send) {
    return send.order != order || send.uses_replacement ||
           send.state == SendState::kNotRun;
  });
}

inline bool HasPendingSend(const World& world, int order) {
  return std::ranges::any_of(world.sends, [order](const Send& send) {
    return send.order == order && send.state == SendState::kPending;
  });
}

// Adds the sends of callers. A caller sends its key at any time and to any
// daemon. It sends the replacement key once it knows that no earlier send has
// run.
inline void AddSendEvents(Successors& next) {
  for (int order = 0; order < static_cast<int>(next.from.orders.size());
       ++order) {
    const Order& wanted = next.from.orders[order];
    const bool may_replace = MaySendReplacement(next.from, order);
    if (wanted.sends >= kSendsPerOrder + (may_replace ? 1 : 0))
      continue;
    if (wanted.replacement_sent && !may_replace)
      continue;
    if (wanted.serial && HasPendingSend(next.from, order))
      continue;
    for (int daemon = 0; daemon < kDaemonCount; ++daemon) {
      if (!next.from.nodes[daemon].alive)
        continue;
      for (const bool uses_replacement : {false, true}) {
        const bool allowed =
            uses_replacement
                ? may_replace
                : !wanted.replacement_sent && wanted.sends < kSendsPerOrder;
        if (!allowed)
          continue;
        AddSuccessor(
            next, "send to " + IdOf(daemon).value, 0, [&](World& world) {
              Order& sent = world.orders[order];
              const std::uint64_t index = world.sends.size();
              world.sends.push_back(
                  {.order = order,
                   .daemon = daemon,
                   .uses_replacement = uses_replacement,
                   .first_send = sent.serial && sent.sends == 0});
              ++sent.sends;
              sent.replacement_sent = sent.replacement_sent || uses_replacement;
              DeliverRequest(world, daemon, index, std::nullopt);
            });
      }
    }
  }
}

inline void FinishRun(World& world, std::size_t index, RunEnd end) {
  const Run run = world.runs[index];
  world.runs.erase(world.runs.begin() + static_cast<std::ptrdiff_t>(index));
  if (end == RunEnd::kAnswered) {
    ReturnAnswer(world, run.daemon, run.token,
                 {.status = 201, .outcome = Outcome::kSucceeded});
  }
  const RunResult result{.end = end, .reason = Reason::kNone, .status = 201};
  HandleEvent(world, run.daemon, [&](ClaimState& state) {
    return OnRunFinished(state, run.token, result, world.now);
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
  HandleEvent(world, run.daemon, [&](ClaimState& state) {
    OnRequestSent(state, token);
    return Actions();
  });
}

inline void AddRunEvents(Successors& next) {
  for (std::size_t index = 0; index < next.from.runs.size(); ++index) {
    if (!next.from.runs[index].sent) {
      AddSuccessor(next, "run", 0,
                   [&](World& world) { SendToUpstream(world, index); });
      AddSuccessor(next, "no upstream", 1, [&](World& world) {
        FinishRun(world, index, RunEnd::kNotSent);
      });
      continue;
    }
    AddSuccessor(next, "upstream answers", 0, [&](World& world) {
      FinishRun(world, index, RunEnd::kAnswered);
    });
    AddSuccessor(next, "upstream connection lost", 1, [&](World& world) {
      FinishRun(world, index, RunEnd::kUnknown);
    });
  }
}

inline void Crash(World& world, int daemon, bool restart) {
  Node& node = world.nodes[daemon];
  const std::uint64_t incarnation = node.state->key_generator.incarnation.value;
  node.alive = restart;
  node.state = NewDaemonState(world, daemon, incarnation + 1);
  node.digest = DigestOf(*node.state);
  std::erase_if(world.runs,
                [daemon](const Run& run) { return run.daemon == daemon; });
  for (std::size_t index = 0; index < world.sends.size(); ++index) {
    const Send& send = world.sends[index];
    if (send.daemon == daemon || send.relayed_to == daemon)
      FinishSend(world, index, Outcome::kUnknown, "");
  }
}

inline std::vector<LiveDaemon> LiveDaemonsOf(const World& world) {
  std::vector<LiveDaemon> live;
  for (int daemon = 0; daemon < kDaemonCount; ++daemon) {
    if (world.nodes[daemon].alive) {
      live.push_back(
          {IdOf(daemon), world.nodes[daemon].state->key_generator.incarnation});
    }
  }
  return live;
}

// Returns whether a tick would have an effect.
inline bool TickHasEffect(const World& world, const ClaimState& state) {
  const bool late = std::ranges::any_of(state.records, [&](const auto& entry) {
    return entry.second.phase == RunPhase::kClaiming &&
           entry.second.claimed_at < world.now;
  });
  return late || std::ranges::any_of(state.shards, [](const auto& entry) {
           return !entry.second.queue.empty();
         });
}

inline bool LiveDaemonsChanged(const World& world, const ClaimState& state) {
  const std::vector<LiveDaemon> live = LiveDaemonsOf(world);
  return !std::ranges::equal(
      live, state.live_daemons,
      [](const LiveDaemon& left, const LiveDaemon& right) {
        return left.id == right.id && left.incarnation == right.incarnation;
      });
}

inline void AddDaemonEvents(Successors& next, int daemon) {
  const ClaimState& daemon_state = *next.from.nodes[daemon].state;
  const std::string id = IdOf(daemon).value;
  for (const bool restart : {false, true}) {
    AddSuccessor(next, "crash of " + id, 1,
                 [&](World& world) { Crash(world, daemon, restart); });
  }
  // A daemon that gets no ticks while the others continue represents a paused
  // daemon.
  if (TickHasEffect(next.from, daemon_state)) {
    AddSuccessor(next, "tick of " + id, 0, [&](World& world) {
      HandleEvent(world, daemon,
                  [&](ClaimState& state) { return OnTick(state, world.now); });
    });
  }
  if (LiveDaemonsChanged(next.from, daemon_state)) {
    AddSuccessor(next, "live daemons change at " + id, 0, [&](World& world) {
      HandleEvent(world, daemon, [&](ClaimState& state) {
        OnLiveDaemonsChanged(state, LiveDaemonsOf(world));
        return Actions();
      });
    });
  }
  const bool reachable = daemon_state.store_reachable;
  AddSuccessor(next, "store reachability changes at " + id, reachable ? 1 : 0,
               [&](World& world) {
                 HandleEvent(world, daemon, [&](ClaimState& state) {
                   OnStoreReachabilityChanged(state, !reachable);
                   return Actions();
                 });
               });
  for (const auto& entry : daemon_state.records) {
    const RunKey& key = entry.first;
    const RunRecord& record = entry.second;
    const bool is_inactive = record.phase != RunPhase::kClaiming &&
                             record.phase != RunPhase::kRunning;
    if (key.minted || !is_inactive)
      continue;
    AddSuccessor(next, id + " drops a record", 1, [&](World& world) {
      HandleEvent(world, daemon, [&](ClaimState& state) {
        EraseRecord(state, key);
        return Actions();
      });
    });
  }
  for (const auto& request : daemon_state.request_keys) {
    const RequestToken token = request.first;
    const std::uint64_t send = token.value / kTokenStride;
    AddSuccessor(next, "deadline passes", 1, [&](World& world) {
      HandleEvent(world, daemon, [&](ClaimState& state) {
        return OnDeadline(state, token, world.now);
      });
    });
    AddSuccessor(next, "caller gone", 1, [&](World& world) {
      FinishSend(world, send, Outcome::kUnknown, "");
      HandleEvent(world, daemon, [&](ClaimState& state) {
        return OnCallerDisconnected(state, token, world.now);
      });
    });
  }
}

inline std::vector<World> FindSuccessors(const World& world) {
  Successors next{.from = world};
  AddSendEvents(next);
  AddMessageEvents(next);
  AddRunEvents(next);
  for (int daemon = 0; daemon < kDaemonCount; ++daemon) {
    if (world.nodes[daemon].alive)
      AddDaemonEvents(next, daemon);
  }
  if (world.time_steps_left > 0) {
    AddSuccessor(next, "time advances by 2 s", 0, [](World& later) {
      later.now += kTimeStep;
      --later.time_steps_left;
    });
  }
  return std::move(next.worlds);
}

}  // namespace poplarfork::claim
