#pragma once

#include <string>
#include <vector>

#include "release/ids_type.h"

namespace poplarfork::release {

enum class StoreReplyKind {
  kFound,
  kAbsent,
  kCreated,
  kConflict,
  kDeleted,
  // The call failed or its reply was lost. A write may have taken effect.
  kNoReply,
};

struct StoreItem {
  std::string key;
  // The value is empty in replies to kListKeys, which reads only keys.
  std::string value;
};

// Event: the store replied to a `StoreCall`, or the call ended without a reply.
struct StoreReply {
  StoreCallId call;
  StoreReplyKind kind = StoreReplyKind::kNoReply;
  // The items that were found, ordered by key.
  std::vector<StoreItem> items;
};

}  // namespace poplarfork::release
