#include "note/touched_items_func.h"

#include "note/route_text_func.h"

namespace poplarfork::note {

namespace {

void InsertServiceNames(const ReleaseNote& note, ItemNames& names) {
  for (const ServiceDefinition& definition : note.added_services)
    names.insert("service " + definition.id.value);
  for (const ServiceDefinition& definition : note.changed_services)
    names.insert("service " + definition.id.value);
  for (const base::ServiceId& id : note.withdrawn_services)
    names.insert("service " + id.value);
}

void InsertUpstreamNames(const ReleaseNote& note, ItemNames& names) {
  for (const UpstreamOfService& service_upstream : note.added_upstreams)
    names.insert("upstream " + service_upstream.upstream.id.value);
  for (const UpstreamOfService& service_upstream : note.changed_upstreams)
    names.insert("upstream " + service_upstream.upstream.id.value);
  for (const base::UpstreamId& id : note.withdrawn_upstreams)
    names.insert("upstream " + id.value);
}

void InsertRouteNames(const ReleaseNote& note, ItemNames& names) {
  for (const Route& route : note.added_routes)
    names.insert("route " + ToString(route.key));
  for (const Route& route : note.changed_routes)
    names.insert("route " + ToString(route.key));
  for (const RouteKey& key : note.withdrawn_routes)
    names.insert("route " + ToString(key));
}

void InsertAccountNames(const ReleaseNote& note, ItemNames& names) {
  for (const Account& account : note.added_accounts)
    names.insert("account " + account.id.value);
  for (const Account& account : note.changed_accounts)
    names.insert("account " + account.id.value);
  for (const base::AccountId& id : note.withdrawn_accounts)
    names.insert("account " + id.value);
}

}  // namespace

ItemNames TouchedItemNames(const ReleaseNote& note) {
  ItemNames names;
  InsertServiceNames(note, names);
  InsertUpstreamNames(note, names);
  InsertRouteNames(note, names);
  InsertAccountNames(note, names);
  return names;
}

}  // namespace poplarfork::note
