#include "note/configuration_draft_func.h"

namespace poplarfork::note {

namespace {

// Returns the value of `key` in the draft's map `touched`, or, if the draft
// does not touch the key, in the base configuration's map `base`. Returns
// nullptr if the value does not exist or the draft removes it.
template <class Key, class Value>
const Value* FindInDraft(const std::map<Key, std::optional<Value>>& touched,
                         const std::map<Key, Value>& base,
                         const Key& key) {
  if (const auto found = touched.find(key); found != touched.end())
    return found->second ? &*found->second : nullptr;
  const auto found = base.find(key);
  return found == base.end() ? nullptr : &found->second;
}

template <class Key, class Value>
void MergeMap(const std::map<Key, std::optional<Value>>& touched,
              std::map<Key, Value>& target) {
  for (const auto& [key, value] : touched) {
    if (value)
      target.insert_or_assign(key, *value);
    else
      target.erase(key);
  }
}

}  // namespace

const Service* FindService(const ConfigurationDraft& draft,
                           const base::ServiceId& id) {
  return FindInDraft(draft.services, draft.base->services, id);
}

Service* FindMutableService(ConfigurationDraft& draft,
                            const base::ServiceId& id) {
  const Service* current_service = FindService(draft, id);
  if (current_service == nullptr)
    return nullptr;
  const auto [entry, inserted] =
      draft.services.try_emplace(id, *current_service);
  return &*entry->second;
}

const Route* FindRoute(const ConfigurationDraft& draft, const RouteKey& key) {
  return FindInDraft(draft.routes, draft.base->routes, key);
}

const Account* FindAccount(const ConfigurationDraft& draft,
                           const base::AccountId& id) {
  return FindInDraft(draft.accounts, draft.base->accounts, id);
}

std::optional<base::ServiceId> FindServiceOfUpstream(
    const ConfigurationDraft& draft,
    const base::UpstreamId& id) {
  for (const auto& [service_id, service] : draft.services) {
    if (service && service->upstreams.contains(id))
      return service_id;
  }
  for (const auto& [service_id, service] : draft.base->services) {
    const bool touched = draft.services.contains(service_id);
    if (!touched && service.upstreams.contains(id))
      return service_id;
  }
  return std::nullopt;
}

std::vector<RouteKey> RoutesToService(const ConfigurationDraft& draft,
                                      const base::ServiceId& service_id) {
  std::vector<RouteKey> keys;
  for (const auto& [key, route] : draft.base->routes) {
    const Route* current_route = FindRoute(draft, key);
    if (current_route != nullptr && current_route->service == service_id)
      keys.push_back(key);
  }
  return keys;
}

void MergeDraft(const ConfigurationDraft& draft, Configuration& configuration) {
  MergeMap(draft.services, configuration.services);
  MergeMap(draft.routes, configuration.routes);
  MergeMap(draft.accounts, configuration.accounts);
  MergeMap(draft.withdrawn_routes, configuration.withdrawn_routes);
}

}  // namespace poplarfork::note
