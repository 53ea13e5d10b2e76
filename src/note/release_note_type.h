#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/ids_type.h"
#include "note/account_type.h"
#include "note/note_source_type.h"
#include "note/policy_type.h"
#include "note/route_type.h"
#include "note/upstream_type.h"

namespace poplarfork::note {

// An upstream and the service that it belongs to.
struct UpstreamOfService {
  base::ServiceId service;
  Upstream upstream;
};

// A service without its upstreams.
struct ServiceDefinition {
  base::ServiceId id;
  ServicePolicy policy;
};

// A change of the configuration that an operator publishes: the items
// (services, upstreams, routes and accounts) that it adds, changes and
// withdraws. Adding an item that exists, or changing or withdrawing one that
// does not, is an error.
struct ReleaseNote {
  base::NoteId id;
  std::string author;
  std::string title;
  // The revision on which the author based the note. The note is rejected if a
  // later revision has touched one of its items.
  std::optional<base::Revision> base_revision;
  std::vector<ServiceDefinition> added_services;
  std::vector<ServiceDefinition> changed_services;
  std::vector<base::ServiceId> withdrawn_services;
  std::vector<UpstreamOfService> added_upstreams;
  std::vector<UpstreamOfService> changed_upstreams;
  std::vector<base::UpstreamId> withdrawn_upstreams;
  std::vector<Route> added_routes;
  std::vector<Route> changed_routes;
  std::vector<RouteKey> withdrawn_routes;
  std::vector<Account> added_accounts;
  std::vector<Account> changed_accounts;
  std::vector<base::AccountId> withdrawn_accounts;
  NoteSource source;
};

}  // namespace poplarfork::note
