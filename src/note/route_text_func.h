#pragma once

#include <string>

#include "note/route_type.h"

namespace poplarfork::note {

// Returns the route key as text, for example "POST example.test/orders". The
// method is left out if the key names none.
std::string ToString(const RouteKey& key);

}  // namespace poplarfork::note
