#include "note/route_text_func.h"

namespace poplarfork::note {

std::string ToString(const RouteKey& key) {
  std::string text = key.method;
  if (!text.empty())
    text += " ";
  return text + key.host + key.path_prefix;
}

}  // namespace poplarfork::note
