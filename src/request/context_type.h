#pragma once

#include <functional>

#include "dispatch/message_type.h"
#include "fleet/shard_type.h"

namespace poplarfork::request {

// The parts of the daemon's state that a request depends on.
struct Context {
  base::DataCentreId data_centre;
  // Returns the daemon that dispatches for a shard of a service.
  // `silent_dispatcher`, if not null, has just failed to reply and is not
  // returned.
  std::function<base::DaemonId(const fleet::Shard&,
                               const base::DaemonId* silent_dispatcher)>
      find_dispatcher;
  // Returns a new attempt id.
  std::function<dispatch::AttemptId()> make_attempt_id;
};

}  // namespace poplarfork::request
