#include "standin/platform_caller_func.h"

#include <chrono>

namespace poplarfork::standin {

void SetCallerFields(PlatformRequest& request,
                     const std::string& request_id,
                     base::Duration time_left) {
  request.set("Attempt-Id", request_id);
  request.set("Deadline-Ms",
              std::to_string(time_left / std::chrono::milliseconds(1)));
}

}  // namespace poplarfork::standin
