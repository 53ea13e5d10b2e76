#pragma once

#include <string>

namespace poplarfork::release {

// The reason why a note cannot be published. `rejected` is false if the note
// can be published.
struct PublishRejection {
  bool rejected = false;
  // Machine-readable reason, such as "below_floor".
  std::string reason;
  // Human-readable explanation.
  std::string detail;
};

}  // namespace poplarfork::release
