#pragma once

#include <cstdint>

#include "base/ids_type.h"
#include "base/time_type.h"

namespace poplarfork::membership {

enum class ProbeStage : std::uint8_t {
  // This daemon sent the probe to the target.
  kDirect,
  // Other members were asked to probe the target.
  kIndirect,
  // This daemon sent the probe on behalf of another daemon.
  kRelay,
};

// A probe that waits for its ack.
struct OpenProbe {
  std::uint64_t sequence = 0;
  base::DaemonId target;
  ProbeStage stage = ProbeStage::kDirect;
  base::TimePoint deadline;
  // In stage kRelay, the daemon that requested the probe, and the sequence
  // number of its request.
  base::DaemonId origin;
  std::uint64_t origin_sequence = 0;
};

}  // namespace poplarfork::membership
