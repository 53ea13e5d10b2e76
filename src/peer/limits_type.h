#pragma once

#include <chrono>
#include <cstddef>

namespace poplarfork::peer {

// Largest size of an encoded envelope. An envelope must have room for a
// snapshot chunk of 900 KB.
inline constexpr std::size_t kMaxMessageBytes = 1024 * 1024;

// ZeroMQ closes the connection of a peer that sends a larger frame than this.
// The margin above `kMaxMessageBytes` allows a slightly oversized message to be
// received and counted without losing the messages behind it.
inline constexpr std::size_t kMaxFrameBytes = kMaxMessageBytes + 64 * 1024;

// Messages that ZeroMQ queues for each peer in each direction.
inline constexpr int kHighWaterMarkMessages = 256;

// Messages that are kept for a peer until its connection is established. ZeroMQ
// itself queues none before the handshake has completed.
inline constexpr std::size_t kMaxPendingMessages = 16;

// A message that has waited longer than this for its connection is dropped. The
// limit equals the handshake timeout: the ack to a probe that waited longer
// would arrive too late to count as a reply.
inline constexpr std::chrono::milliseconds kMaxPendingAge{2000};

// Limit of outgoing connections. It allows for 24 neighbours, for the daemons
// that have this daemon as a neighbour, and for a few connections for joins and
// indirect probes.
inline constexpr std::size_t kMaxConnections = 64;

// An outgoing connection on which no message was sent for this time is closed,
// so that ZeroMQ does not try forever to reconnect to a dead peer.
inline constexpr std::chrono::seconds kConnectionIdleTimeout{30};

inline constexpr std::chrono::seconds kIdleConnectionCheckInterval{5};

inline constexpr std::chrono::milliseconds kHeartbeatInterval{1000};

// A connection on which nothing was received for this time is closed and opened
// again.
inline constexpr std::chrono::milliseconds kHeartbeatTimeout{3000};

inline constexpr std::chrono::milliseconds kHandshakeTimeout{2000};

inline constexpr std::chrono::milliseconds kReconnectInterval{100};

inline constexpr std::chrono::milliseconds kMaxReconnectInterval{2000};

// Messages that are handled in one iteration of the event loop, so that other
// handlers are not delayed by a long queue of messages.
inline constexpr int kMaxMessagesPerIteration = 128;

// Only messages above this size are charged to the budget for large messages.
inline constexpr std::size_t kLargeMessageThresholdBytes = 16 * 1024;

// Budget for large messages to all peers together: the bytes that may be sent
// at once, and the bytes per second at which the budget is refilled. A peer
// that does not read is disconnected after at most one heartbeat interval and
// the heartbeat timeout (4 s), so ZeroMQ holds at most 8 + 4 x 4 = 24 MB of the
// 128 MB that a daemon may use.
inline constexpr double kLargeMessageBudgetBytes = 8.0 * 1024 * 1024;
inline constexpr double kLargeMessageBytesPerSecond = 4.0 * 1024 * 1024;

}  // namespace poplarfork::peer
