#pragma once

#include <string>
#include <vector>

namespace poplarfork::standin {

struct ResponseHeader {
  std::string name;
  std::string value;
};

// An HTTP response whose whole body is in memory.
struct Response {
  unsigned status = 200;
  std::string content_type = "application/json";
  std::string body;
  std::vector<ResponseHeader> headers;
};

}  // namespace poplarfork::standin
