#pragma once

#include <string>
#include <string_view>

#include "peer/keys_type.h"

namespace poplarfork::peer {

// Returns the authentication tag that is sent after an envelope: a keyed hash
// (BLAKE2b, 16 bytes), or an empty string if `key` is empty.
std::string ComputeTag(const ClusterKey& key, std::string_view envelope);

// Returns whether `tag` authenticates `envelope`. If `key` is empty, only an
// empty tag is valid, so that a daemon that lacks the key is noticed.
bool IsTagValid(const ClusterKey& key,
                std::string_view envelope,
                std::string_view tag);

}  // namespace poplarfork::peer
