#include "routing/route_table_func.h"

#include <algorithm>
#include <map>
#include <utility>

namespace poplarfork::routing {

namespace {

using PrefixMap = std::map<std::string, std::vector<MethodRoute>, std::less<>>;

char ToLowerCase(char letter) {
  const bool upper = letter >= 'A' && letter <= 'Z';
  return upper ? static_cast<char>(letter - 'A' + 'a') : letter;
}

std::string_view StripPort(std::string_view host) {
  if (!host.empty() && host.front() == '[') {
    const std::size_t end = host.find(']');
    return end == std::string_view::npos ? host : host.substr(0, end + 1);
  }
  return host.substr(0, host.find(':'));
}

std::string NormalizeHost(std::string_view host) {
  std::string normalized(StripPort(host));
  std::ranges::transform(normalized, normalized.begin(), ToLowerCase);
  return normalized;
}

// Adds a route unless its method is already present. The live routes are added
// first, so that they take precedence over withdrawn routes with the same key.
void AddMethodRoute(std::vector<MethodRoute>& methods, MethodRoute route) {
  for (const MethodRoute& present : methods) {
    if (present.method == route.method)
      return;
  }
  methods.push_back(std::move(route));
}

void AddLiveRoutes(const note::Configuration& configuration,
                   const std::string& host,
                   PrefixMap& prefixes) {
  const note::RouteKey first{.host = host, .path_prefix = "", .method = ""};
  for (auto at = configuration.routes.lower_bound(first);
       at != configuration.routes.end() && at->first.host == host; ++at) {
    const note::Route& route = at->second;
    AddMethodRoute(prefixes[at->first.path_prefix],
                   MethodRoute{.method = at->first.method,
                               .service = route.service,
                               .repeatable = route.repeatable});
  }
}

void AddWithdrawnRoutes(const note::Configuration& configuration,
                        const std::string& host,
                        PrefixMap& prefixes) {
  const note::RouteKey first{.host = host, .path_prefix = "", .method = ""};
  const auto& withdrawn = configuration.withdrawn_routes;
  for (auto at = withdrawn.lower_bound(first);
       at != withdrawn.end() && at->first.host == host; ++at) {
    AddMethodRoute(prefixes[at->first.path_prefix],
                   MethodRoute{.method = at->first.method,
                               .service = at->second,
                               .withdrawn = true});
  }
}

// Sets the parent of each entry. `prefixes` is in ascending order, so the
// entries of which the current one can be a descendant form a stack.
void LinkParents(std::vector<PrefixRoutes>& prefixes) {
  std::vector<std::int32_t> ancestors;
  for (std::size_t index = 0; index < prefixes.size(); ++index) {
    PrefixRoutes& routes = prefixes[index];
    while (!ancestors.empty() &&
           !routes.prefix.starts_with(prefixes[ancestors.back()].prefix)) {
      ancestors.pop_back();
    }
    routes.parent =
        ancestors.empty() ? PrefixRoutes::kNoParent : ancestors.back();
    ancestors.push_back(static_cast<std::int32_t>(index));
  }
}

std::shared_ptr<const HostRoutes> BuildHostRoutes(
    const note::Configuration& configuration,
    const std::string& host) {
  PrefixMap by_prefix;
  AddLiveRoutes(configuration, host, by_prefix);
  AddWithdrawnRoutes(configuration, host, by_prefix);
  if (by_prefix.empty())
    return nullptr;

  auto result = std::make_shared<HostRoutes>();
  result->prefixes.reserve(by_prefix.size());
  for (auto& [prefix, methods] : by_prefix) {
    std::ranges::sort(methods, std::greater<>(), &MethodRoute::method);
    result->prefixes.push_back(
        PrefixRoutes{.prefix = prefix, .methods = std::move(methods)});
  }
  LinkParents(result->prefixes);
  return result;
}

void UpdateHost(RouteTable& table,
                const note::Configuration& configuration,
                const std::string& host) {
  std::shared_ptr<const HostRoutes> routes =
      BuildHostRoutes(configuration, host);
  if (routes)
    table.hosts[NormalizeHost(host)] = std::move(routes);
  else
    table.hosts.erase(NormalizeHost(host));
}

bool PrefixMatches(std::string_view prefix, std::string_view path) {
  if (!path.starts_with(prefix))
    return false;
  const bool is_exact = path.size() == prefix.size();
  return is_exact || prefix.empty() || prefix.back() == '/' ||
         path[prefix.size()] == '/';
}

const MethodRoute* FindMethod(const PrefixRoutes& routes,
                              std::string_view method) {
  for (const MethodRoute& route : routes.methods) {
    if (route.method.empty() || route.method == method)
      return &route;
  }
  return nullptr;
}

// Returns the route with the longest prefix of `path` that has an entry for
// `method`, or null. All strings that sort between a prefix of `path` and
// `path` start with that prefix. Every prefix of `path` is therefore the last
// entry that does not sort after `path`, or one of that entry's ancestors.
const MethodRoute* FindLongestPrefixRoute(const HostRoutes& routes,
                                          std::string_view path,
                                          std::string_view method) {
  const auto after = std::ranges::upper_bound(
      routes.prefixes, path, std::less<>(),
      [](const PrefixRoutes& entry) { return std::string_view(entry.prefix); });
  auto index = static_cast<std::int32_t>(after - routes.prefixes.begin()) - 1;
  while (index != PrefixRoutes::kNoParent) {
    const PrefixRoutes& entry = routes.prefixes[index];
    if (PrefixMatches(entry.prefix, path)) {
      const MethodRoute* route = FindMethod(entry, method);
      if (route != nullptr)
        return route;
    }
    index = entry.parent;
  }
  return nullptr;
}

bool IsNormalizedHost(std::string_view host) {
  return std::ranges::all_of(host, [](char letter) {
    return letter == ToLowerCase(letter) && letter != ':' && letter != '[';
  });
}

const HostRoutes* FindHost(const RouteTable& table, std::string_view host) {
  const auto found = IsNormalizedHost(host)
                         ? table.hosts.find(host)
                         : table.hosts.find(NormalizeHost(host));
  return found == table.hosts.end() ? nullptr : found->second.get();
}

}  // namespace

RouteTable BuildRouteTable(const note::Configuration& configuration) {
  RouteTable table;
  std::string previous_host;
  const auto add_host = [&](const note::RouteKey& key) {
    if (!table.hosts.contains(NormalizeHost(key.host)))
      UpdateHost(table, configuration, key.host);
  };
  for (const auto& [key, route] : configuration.routes) {
    if (key.host != previous_host)
      add_host(key);
    previous_host = key.host;
  }
  for (const auto& [key, service] : configuration.withdrawn_routes)
    add_host(key);
  return table;
}

RouteTable RebuildHosts(const RouteTable& previous,
                        const note::Configuration& configuration,
                        std::span<const std::string> hosts) {
  RouteTable table = previous;
  for (const std::string& host : hosts)
    UpdateHost(table, configuration, host);
  return table;
}

RouteMatch FindRoute(const RouteTable& table,
                     std::string_view host,
                     std::string_view method,
                     std::string_view target) {
  const HostRoutes* routes = FindHost(table, host);
  if (routes == nullptr)
    return {.status = RouteStatus::kWrongHost, .service = {}};

  const std::string_view path = target.substr(0, target.find('?'));
  const MethodRoute* route = FindLongestPrefixRoute(*routes, path, method);
  if (route == nullptr)
    return {.status = RouteStatus::kNoRoute, .service = {}};
  if (route->withdrawn)
    return {.status = RouteStatus::kWithdrawn, .service = route->service};
  return {.status = RouteStatus::kMatched,
          .service = route->service,
          .repeatable = route->repeatable};
}

}  // namespace poplarfork::routing
