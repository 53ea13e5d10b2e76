#pragma once

#include <cstdint>

#include "base/time_type.h"

namespace poplarfork::fleet {

// How fast the store has answered recently. A connection on which an answer
// takes much longer has probably gone silent.
struct AnswerTime {
  // Slowest recent answer; it decreases with each faster one.
  base::Duration recent{};
  // The store has answered at least once.
  bool is_known = false;
  // Calls without an answer since the last answer.
  std::uint32_t unanswered = 0;
};

}  // namespace poplarfork::fleet
