#pragma once

#include <array>
#include <cstdint>
#include <cstring>
#include <functional>

namespace poplarfork::fleet {

// Digest of the key of a client account. Keys are compared and looked up by
// their digests, so that none is kept in plain text.
struct KeyDigest {
  std::array<std::uint8_t, 16> bytes{};

  friend bool operator==(const KeyDigest&, const KeyDigest&) = default;
};

}  // namespace poplarfork::fleet

template <>
struct std::hash<poplarfork::fleet::KeyDigest> {
  std::size_t operator()(
      const poplarfork::fleet::KeyDigest& digest) const noexcept {
    // The bytes of a digest are uniformly distributed, so any of them will do.
    std::size_t value = 0;
    std::memcpy(&value, digest.bytes.data(), sizeof(value));
    return value;
  }
};
