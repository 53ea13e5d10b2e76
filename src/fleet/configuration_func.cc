#include "fleet/configuration_func.h"

#include <algorithm>
#include <cctype>
#include <string>

namespace poplarfork::fleet {

namespace {

std::string NormalizeHost(std::string_view host) {
  std::string name(host.substr(0, host.rfind(':')));
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return name;
}

}  // namespace

const Route* FindRoute(const Configuration& configuration,
                       std::string_view host,
                       std::string_view target) {
  const auto found = configuration.routes_by_host.find(NormalizeHost(host));
  if (found == configuration.routes_by_host.end())
    return nullptr;
  const std::string_view path = target.substr(0, target.find('?'));
  for (const Route& route : found->second) {
    if (path.starts_with(route.path_prefix))
      return &route;
  }
  return nullptr;
}

void SortRoutes(Configuration& configuration) {
  for (auto& [host, routes] : configuration.routes_by_host) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const Route& a, const Route& b) {
                       return a.path_prefix.size() > b.path_prefix.size();
                     });
  }
}

}  // namespace poplarfork::fleet
