#pragma once

#include <string>
#include <vector>

namespace poplarfork::standin {

struct ReplyHeader {
  std::string name;
  std::string value;
};

// An HTTP response whose whole body is in memory.
struct Reply {
  unsigned status = 200;
  std::string content_type = "application/json";
  std::string body;
  std::vector<ReplyHeader> headers;
};

}  // namespace poplarfork::standin
