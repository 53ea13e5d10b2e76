#pragma once

#include <cstdint>
#include <memory>

#include "base/byte_counter_type.h"
#include "edge/handlers_type.h"
#include "edge/limits_type.h"

namespace poplarfork::edge {

// State that all sessions of one server share.
struct SessionContext {
  Limits limits;
  Handlers handlers;
  // Bytes that all sessions have reserved for request bodies, and bytes of
  // responses that wait for their turn. Its parent, if there is one, counts
  // what the process buffers for callers and upstreams together.
  std::shared_ptr<base::ByteCounter> buffered =
      std::make_shared<base::ByteCounter>();
  // Set while the daemon drains. Connections are then closed after their
  // response.
  bool is_draining = false;
};

}  // namespace poplarfork::edge
