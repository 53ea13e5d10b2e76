#pragma once

#include <deque>
#include <string>
#include <vector>

#include "base/time_type.h"

namespace poplarfork::standin {

enum class VmState { kLive, kLeaving };

struct VmEntry {
  std::string address;
  std::string data_centre;
  VmState state = VmState::kLive;
};

struct VmListVersion {
  base::TimePoint set_at;
  std::vector<VmEntry> entries;
};

// The versions of the VM list, oldest first, and the active faults. A version
// becomes visible when `lag` has passed since it was set.
struct VmListState {
  std::deque<VmListVersion> versions;
  base::Duration lag{};
  bool is_down = false;
  // Delay before a response is sent.
  base::Duration reply_delay{};
  std::uint64_t call_count = 0;
};

}  // namespace poplarfork::standin
