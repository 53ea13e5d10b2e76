#include "logging/json_line_func.h"

#include <easylogging++.h>

#include <chrono>
#include <string>

#include "logging/buffered_output_func.h"

namespace poplarfork::logging {

void WriteJsonLine(std::string_view event, const Fields& fields) {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  Fields line = Fields::object();
  line["unix_us"] =
      std::chrono::duration_cast<std::chrono::microseconds>(now).count();
  line["daemon"] = GetOutputIdentity();
  line["event"] = event;
  line.update(fields);
  // Some values come from the network, so bytes that are not valid UTF-8 are
  // replaced.
  LOG(INFO) << line.dump(-1, ' ', false, Fields::error_handler_t::replace);
}

}  // namespace poplarfork::logging
