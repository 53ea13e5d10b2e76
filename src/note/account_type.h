#pragma once

#include "base/ids_type.h"

namespace poplarfork::note {

// A client account with its rate limit, which applies to the whole fleet.
struct Account {
  base::AccountId id;
  // Sustained rate in requests per second.
  double rate = 100;
  // Number of requests that may arrive at once after an idle period.
  double burst = 200;
};

}  // namespace poplarfork::note
