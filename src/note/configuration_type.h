#pragma once

#include <map>
#include <string>

#include "base/ids_type.h"
#include "note/account_type.h"
#include "note/route_type.h"
#include "note/service_type.h"

namespace poplarfork::note {

// The configuration in force after a revision: the result of applying all
// release notes up to that revision in order.
struct Configuration {
  base::Revision revision;
  // Chained hash of all log entries up to `revision`, 16 hex digits.
  std::string hash;
  std::map<base::ServiceId, Service> services;
  std::map<RouteKey, Route> routes;
  std::map<base::AccountId, Account> accounts;
  // Routes that a note withdrew, with the service that each led to. They are
  // kept so that callers get 410 instead of 404.
  std::map<RouteKey, base::ServiceId> withdrawn_routes;
};

}  // namespace poplarfork::note
