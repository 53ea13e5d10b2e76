#pragma once

#include <cstdint>

#include "base/time_type.h"

namespace poplarfork::standin {

// What a caller sees when it gets no reply: the connection is closed, or it
// stays open.
enum class NoReplyMode { kClose, kHang };

// The active faults of the store. They affect the calls under /v3/, not the
// control paths.
struct StoreFaults {
  bool is_down = false;
  NoReplyMode down_mode = NoReplyMode::kClose;
  // Delay before a call is executed.
  base::Duration reply_delay{};
  // Number of the next writes that take effect without a reply being sent.
  std::uint64_t replies_to_lose = 0;
  NoReplyMode lost_reply_mode = NoReplyMode::kClose;
};

}  // namespace poplarfork::standin
