#pragma once

#include "base/time_type.h"

namespace poplarfork::base {

// Returns `duration` times `factor`, rounded towards zero to a microsecond.
Duration Scale(Duration duration, double factor);

}  // namespace poplarfork::base
