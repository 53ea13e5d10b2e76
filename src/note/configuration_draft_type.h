#pragma once

#include <map>
#include <optional>

#include "note/configuration_type.h"

namespace poplarfork::note {

// The parts of a configuration that a note touches, in the state after the
// note. An empty optional marks a part that the note removes. `base` is the
// configuration before the note; it stays unchanged until the draft is merged.
struct ConfigurationDraft {
  const Configuration* base = nullptr;
  std::map<base::ServiceId, std::optional<Service>> services;
  std::map<RouteKey, std::optional<Route>> routes;
  std::map<base::AccountId, std::optional<Account>> accounts;
  std::map<RouteKey, std::optional<base::ServiceId>> withdrawn_routes;
};

}  // namespace poplarfork::note
