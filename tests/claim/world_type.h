#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "claim/claim_state_type.h"

namespace poplarfork::claim {

inline constexpr int kDaemonCount = 3;

// A token is 10 times the index of the send, plus 1 at the daemon to which the
// request was relayed. This makes tokens independent of the path to a state.
inline constexpr std::uint64_t kTokenStride = 10;

enum class SendState { kPending, kNotRun, kUnknown, kAnswered };

// One send of an order by its caller to a daemon.
struct Send {
  int order = 0;
  int daemon = 0;
  int relayed_to = -1;
  bool uses_replacement = false;
  // The request states that it is the first send, and the caller sends
  // serially.
  bool first_send = false;
  SendState state = SendState::kPending;
};

// Work that must run at most once, whether under its key or under the key that
// replaces it.
struct Order {
  std::string key;
  // The caller sends again only after it has an answer, and states so in the
  // request.
  bool serial = false;
  int sends = 0;
  int runs = 0;
  std::string replacement_key = {};
  bool replacement_sent = false;
};

enum class MessageKind {
  kClaim,
  kResult,
  kRelay,
  kRelayAnswer,
  kAppend,
  kRead,
};

// A message in flight between two daemons, or between a daemon and the store.
struct Message {
  MessageKind kind = MessageKind::kClaim;
  int from = 0;
  int to = 0;
  // Incarnation of the sender.
  base::Incarnation incarnation = {};
  ClaimMessage claim_message = {};
  ClaimResult claim_result = {};
  RelayToDaemon relay = {};
  std::uint64_t send = 0;
  Answer answer = {};
  AppendBatch append = {};
  ReadLog read_log = {};
  // The sender has been told that there was no reply.
  bool timed_out = false;
  std::string digest = {};
};

// A run that the claim core of a daemon has released to an upstream.
struct Run {
  int daemon = 0;
  RequestToken token = {};
  bool sent = false;

  friend auto operator<=>(const Run&, const Run&) = default;
};

// A daemon of the model with its claim state.
struct Node {
  std::shared_ptr<const ClaimState> state;
  std::string digest;
  bool alive = true;
};

// The events that led to a state, for the report of a violation.
struct Trace {
  std::shared_ptr<const Trace> previous;
  std::string event;
};

// A state of the model: the daemons, the messages in flight, the upstream runs,
// the callers' orders and the store's claim logs.
struct World {
  std::array<Node, kDaemonCount> nodes;
  std::vector<std::shared_ptr<const Message>> messages = {};
  std::vector<Run> runs = {};
  std::vector<Send> sends = {};
  std::vector<Order> orders = {};
  std::map<Shard, std::vector<ClaimBatch>> logs = {};
  base::TimePoint now = {};
  int faults_left = 0;
  int time_steps_left = 0;
  std::shared_ptr<const Trace> trace = {};
  std::string violation = {};
};

}  // namespace poplarfork::claim
