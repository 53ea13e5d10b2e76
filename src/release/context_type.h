#pragma once

#include "base/rng_type.h"
#include "base/time_type.h"
#include "release/action_type.h"

namespace poplarfork::release {

struct ReleaseState;

// The state, time and random generator with which one event is handled, and
// the list that receives the resulting actions.
struct Context {
  ReleaseState& state;
  base::TimePoint now;
  base::Rng& rng;
  Actions& actions;
};

}  // namespace poplarfork::release
