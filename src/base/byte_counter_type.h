#pragma once

#include <cstdint>
#include <memory>

namespace poplarfork::base {

// Number of buffered bytes of one kind.
struct ByteCounter {
  std::uint64_t bytes = 0;
  // Counter that includes the bytes of this one; may be null.
  std::shared_ptr<ByteCounter> parent;
};

}  // namespace poplarfork::base
