#pragma once

#include <compare>
#include <cstdint>
#include <functional>

#include "base/strong_id_type.h"

namespace poplarfork::claim {

// Identifies a piece of work that runs at most once. For a key that a caller
// supplied, it is a 128-bit hash of account and key. For a minted key, it is
// the counter of the minting incarnation.
struct RunKey {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  bool minted = false;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const RunKey&, const RunKey&) = default;
};

// Identifies one request of a caller at this daemon. The driver assigns it and
// never uses it again.
using RequestToken = base::NumberId<struct RequestTokenTag>;

// Number of the claim log that contains the claims of a caller-supplied key.
using Shard = base::NumberId<struct ShardTag>;

// Number of claim logs in the store.
inline constexpr std::uint64_t kShardCount = 64;

}  // namespace poplarfork::claim

template <>
struct std::hash<poplarfork::claim::RunKey> {
  std::size_t operator()(const poplarfork::claim::RunKey& key) const noexcept {
    return key.high ^ (key.low * 0x9e3779b97f4a7c15U);
  }
};
