#pragma once

#include <cstdint>

#include "base/time_type.h"

namespace poplarfork::standin {

// What a caller sees when it gets no reply: the connection is closed, or it
// stays open.
enum class NoAnswerMode { kClose, kHang };

// The active faults of the store. They affect the calls under /v3/, not the
// control paths.
struct StoreFaults {
  bool is_down = false;
  NoAnswerMode down_mode = NoAnswerMode::kClose;
  // Delay before a call is executed.
  base::Duration slow{};
  // Number of the next writes that take effect without a reply being sent.
  std::uint64_t lost_replies = 0;
  NoAnswerMode lost_mode = NoAnswerMode::kClose;
};

}  // namespace poplarfork::standin
