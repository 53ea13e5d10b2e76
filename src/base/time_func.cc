#include "base/time_func.h"

#include <cstdint>

namespace poplarfork::base {

Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace poplarfork::base
