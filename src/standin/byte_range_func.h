#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace poplarfork::standin {

// The bytes from `first` to `last` of a body, both included.
struct ByteRange {
  std::uint64_t first = 0;
  std::uint64_t last = 0;
};

enum class RangeKind { kWholeBody, kPartialBody, kUnsatisfiable };

// The part of a body that a Range header selects; `range` is valid for
// `kPartialBody` only.
struct RangeSelection {
  RangeKind kind = RangeKind::kWholeBody;
  ByteRange range;
};

// Returns the part of a body of `size` bytes that a Range header with one byte
// range selects. A header with another unit, with several ranges or with
// malformed text selects the whole body.
RangeSelection SelectRange(std::string_view header, std::uint64_t size);

}  // namespace poplarfork::standin
