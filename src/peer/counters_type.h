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
  std::array<KindCounters, proto::MessageKind_ARRAYSIZE> kinds = {};
  std::uint64_t malformed = 0;
  std::uint64_t oversized = 0;
  std::uint64_t unknown_kind = 0;
  std::uint64_t unauthenticated = 0;
  // Messages whose sender is the address of this daemon itself.
  std::uint64_t from_self = 0;
  std::uint64_t refused_public_keys = 0;
  std::uint64_t connections_opened = 0;
  // Connections closed because of the limit on their number.
  std::uint64_t connections_evicted = 0;
  std::uint64_t connections_idle_closed = 0;
};

}  // namespace poplarfork::peer
