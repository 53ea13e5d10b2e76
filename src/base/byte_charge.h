#pragma once

#include <cstdint>
#include <memory>

#include "base/byte_counter_type.h"

namespace poplarfork::base {

// Bytes that a buffer adds to a counter and to its parents, for as long as the
// charge exists.
class ByteCharge {
 public:
  // A charge without a counter, which counts nothing.
  ByteCharge() = default;
  ByteCharge(std::shared_ptr<ByteCounter> counter, std::uint64_t bytes);
  ~ByteCharge();

  ByteCharge(ByteCharge&& other) noexcept;
  ByteCharge& operator=(ByteCharge&& other) noexcept;
  ByteCharge(const ByteCharge&) = delete;
  ByteCharge& operator=(const ByteCharge&) = delete;

  // Changes the size of the charge.
  void Resize(std::uint64_t new_bytes);

  std::uint64_t Bytes() const;

 private:
  std::shared_ptr<ByteCounter> counter;
  std::uint64_t bytes = 0;
};

}  // namespace poplarfork::base
