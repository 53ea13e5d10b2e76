#pragma once

#include "base/strong_id_type.h"

namespace poplarfork::release {

// Identifies a call to the store; unique within one run of a daemon.
using StoreCallId = base::NumberId<struct StoreCallTag>;

// Identifies an operator's request to publish; assigned by the daemon that
// receives it.
using PublicationId = base::NumberId<struct PublicationTag>;

}  // namespace poplarfork::release
