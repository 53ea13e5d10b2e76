#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/gateway_type.h"

namespace poplarfork::gateway {

// The items under a prefix of the store, from all pages.
struct Listing {
  std::string prefix;
  std::vector<platform::StoreItem> items;
  fleet::StoreRevision as_of;
};

// Reads all pages under a prefix and gives the items to `on_end`; null if a
// call failed.
void ListStore(Gateway& gateway,
               std::string_view prefix,
               std::function<void(const Listing*)> on_end);

}  // namespace poplarfork::gateway
