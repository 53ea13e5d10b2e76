#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/gateway_type.h"

namespace poplarfork::gateway {

// All items under a prefix of the store.
struct Listing {
  std::string prefix;
  std::vector<platform::StoreItem> items;
  // All changes up to this revision are included.
  fleet::StoreRevision as_of;
};

// Reads all pages of the items under a prefix and passes the listing to
// `on_end`, or null if a call failed or a page could not be decoded.
void ListStoreItems(Gateway& gateway,
                    std::string_view prefix,
                    std::function<void(const Listing*)> on_end);

}  // namespace poplarfork::gateway
