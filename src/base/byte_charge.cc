#include "base/byte_charge.h"

#include <utility>

namespace poplarfork::base {

ByteCharge::ByteCharge(std::shared_ptr<ByteCounter> counter,
                       std::uint64_t bytes)
    : counter(std::move(counter)) {
  this->Resize(bytes);
}

ByteCharge::~ByteCharge() {
  this->Resize(0);
}

ByteCharge::ByteCharge(ByteCharge&& other) noexcept
    : counter(std::move(other.counter)), bytes(std::exchange(other.bytes, 0)) {}

ByteCharge& ByteCharge::operator=(ByteCharge&& other) noexcept {
  if (this == &other)
    return *this;
  this->Resize(0);
  this->counter = std::move(other.counter);
  this->bytes = std::exchange(other.bytes, 0);
  return *this;
}

void ByteCharge::Resize(std::uint64_t new_bytes) {
  for (ByteCounter* changed = this->counter.get(); changed;
       changed = changed->parent.get())
    changed->bytes += new_bytes - this->bytes;
  this->bytes = new_bytes;
}

std::uint64_t ByteCharge::Bytes() const {
  return this->bytes;
}

}  // namespace poplarfork::base
