#pragma once

#include "base/strong_id_type.h"

namespace poplarfork::fleet {

// Revision of the store. A larger revision is later.
using StoreRevision = base::NumberId<struct StoreRevisionTag>;

// Version that operators give to a configuration. Versions increase in uneven
// steps.
using ConfigurationVersion = base::NumberId<struct ConfigurationVersionTag>;

}  // namespace poplarfork::fleet
