#pragma once

#include <array>
#include <cstdint>

#include <envelope.pb.h>

namespace poplarfork::peer {

// Messages and bytes of one message kind. Bytes count the envelope and the tag,
// without the framing of ZeroMQ.
struct KindCounters {
  std::uint64_t sent_messages = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_messages = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t dropped_messages = 0;
};

// Counters of a transport since it was built.
struct Counters {
  // Indexed by `proto::MessageKind`.
  std::array<KindCounters, proto::MessageKind_ARRAYSIZE> by_kind = {};
  std::uint64_t malformed_messages = 0;
  std::uint64_t oversized_messages = 0;
  std::uint64_t unknown_kind_messages = 0;
  std::uint64_t unauthenticated_messages = 0;
  // Messages whose sender is the address of this daemon itself.
  std::uint64_t messages_from_self = 0;
  std::uint64_t refused_public_keys = 0;
  std::uint64_t opened_connections = 0;
  // Connections closed because of the limit on their number.
  std::uint64_t evicted_connections = 0;
  std::uint64_t closed_idle_connections = 0;
};

}  // namespace poplarfork::peer
