#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/ids_type.h"

namespace poplarfork::routing {

// A route of a host for one method, under one path prefix.
struct MethodRoute {
  // The method in upper case; an empty one matches every method.
  std::string method;
  base::ServiceId service;
  bool repeatable = false;
  bool withdrawn = false;
};

// All routes of a host with the same path prefix.
struct PrefixRoutes {
  static constexpr std::int32_t kNoParent = -1;

  std::string prefix;
  // The entry without a method comes last, so that an entry for the method of
  // the request takes precedence.
  std::vector<MethodRoute> methods;
  // Index of the entry with the longest other prefix of `prefix` for the same
  // host.
  std::int32_t parent = kNoParent;
};

// The routes of one host in ascending order of their prefixes.
struct HostRoutes {
  std::vector<PrefixRoutes> prefixes;
};

// Hash that allows a lookup with a string_view without copying it.
struct HostHash {
  using is_transparent = void;

  std::size_t operator()(std::string_view host) const noexcept {
    return std::hash<std::string_view>()(host);
  }
};

// The routes of all services by host (lower case, without port). A table is not
// changed after it is built. The tables of successive revisions share the
// entries of hosts that did not change.
struct RouteTable {
  std::unordered_map<std::string,
                     std::shared_ptr<const HostRoutes>,
                     HostHash,
                     std::equal_to<>>
      hosts;
};

}  // namespace poplarfork::routing
