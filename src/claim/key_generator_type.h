#pragma once

#include <array>
#include <cstdint>

#include "base/ids_type.h"
#include "base/time_type.h"

namespace poplarfork::claim {

// The secret of one incarnation for the keyed hash in its keys. The driver
// draws it from the system's random device.
using MintSecret = std::array<unsigned char, 16>;

// What a daemon needs in order to mint keys and to verify its own keys.
struct KeyGenerator {
  MintSecret secret = {};
  base::DaemonId self = {};
  base::Incarnation incarnation = {};
  // The start of the daemon; the minting times in keys are relative to it.
  base::TimePoint started_at = {};
  std::uint64_t last_counter = 0;
};

}  // namespace poplarfork::claim
