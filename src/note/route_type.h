#pragma once

#include <compare>
#include <string>

#include "base/ids_type.h"

namespace poplarfork::note {

// Criteria that a request must match. Among several matching routes, the one
// with the longest path prefix is chosen; for equal prefixes, a route that
// names a method takes precedence over one that names none.
struct RouteKey {
  std::string host;
  std::string path_prefix;
  // HTTP method in upper case; empty matches every method.
  std::string method;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const RouteKey&, const RouteKey&) = default;
};

// Maps the requests that match a key to a service.
struct Route {
  RouteKey key;
  base::ServiceId service;
  // True if the upstream may run the same request more than once. A request
  // that is not repeatable runs at most once, protected by a claim.
  bool repeatable = false;
};

}  // namespace poplarfork::note
