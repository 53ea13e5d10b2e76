#pragma once

#include <compare>
#include <cstdint>

#include "base/ids_type.h"
#include "claim/run_key_type.h"

namespace poplarfork::claim {

// The incarnation of a daemon that made a claim. It may run the work if the
// claim is the first one of its key in the log. `attempt` distinguishes the
// claims that an incarnation makes for the same key after it has forgotten the
// first one, so that an old claim of its own does not allow a second run.
struct Claimant {
  base::DaemonId daemon = {};
  base::Incarnation incarnation = {};
  std::uint64_t attempt = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const Claimant&, const Claimant&) = default;
};

// A claim of a key that is to be appended to a log or was found in one.
struct Claim {
  RunKey key = {};
  Claimant claimant = {};

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const Claim&, const Claim&) = default;
};

}  // namespace poplarfork::claim
