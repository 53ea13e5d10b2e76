#pragma once

namespace poplarfork::allowance {

// Rate and capacity of a token bucket.
struct BucketLimit {
  // Tokens per second.
  double rate = 0;
  // Number of tokens at once; at least 1.
  double burst = 1;

  friend bool operator==(const BucketLimit&, const BucketLimit&) = default;
};

}  // namespace poplarfork::allowance
