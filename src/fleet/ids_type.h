#pragma once

#include "base/strong_id_type.h"

namespace poplarfork::fleet {

// Number of restores of the store from an older copy. Stores that do not state
// it have era 0.
using StoreEra = base::NumberId<struct StoreEraTag>;

// Revision of the store. A larger revision is later. The upper 16 bits hold the
// era, so that every revision of a later era is later than those of the eras
// before it; platform/store_era_func.h composes revisions and takes them apart.
using StoreRevision = base::NumberId<struct StoreRevisionTag>;

// Version that operators give to a configuration. Versions increase in uneven
// steps.
using ConfigurationVersion = base::NumberId<struct ConfigurationVersionTag>;

}  // namespace poplarfork::fleet
