#include "note/apply_note_func.h"

#include <set>
#include <string>

#include "note/configuration_draft_func.h"
#include "note/floor_func.h"
#include "note/note_problem_func.h"
#include "note/route_text_func.h"

namespace poplarfork::note {

namespace {

using base::ErrorCode;

// State of applying one note.
struct ApplyContext {
  ConfigurationDraft draft;
  const ReleaseNote* note = nullptr;
  NoteProblems problems;
  // Names, such as "upstream a1", of the items that the note has listed so far.
  std::set<std::string> seen_items;
};

void ReportProblem(ApplyContext& context,
                   const std::string& key,
                   ErrorCode code,
                   const std::string& detail) {
  const int line = FindLine(context.note->source, key);
  context.problems.push_back(NoteProblem{line, key, code, detail});
}

std::string ListElementKey(const char* list_name, std::size_t index) {
  return std::string(list_name) + "[" + std::to_string(index) + "]";
}

// Returns true the first time that the note names the item. Otherwise reports
// the duplicate and returns false.
bool CheckUnique(ApplyContext& context,
                 const std::string& key,
                 const std::string& item_name) {
  if (context.seen_items.insert(item_name).second)
    return true;
  ReportProblem(
      context, key, ErrorCode::kConflict,
      "duplicate: " + item_name + "; accepted: each item once in a note");
  return false;
}

void ReportUnknownItem(ApplyContext& context,
                       const std::string& key,
                       const std::string& item_name) {
  ReportProblem(context, key, ErrorCode::kDanglingReference,
                item_name + " does not exist; accepted: an existing item");
}

void ReportExistingItem(ApplyContext& context,
                        const std::string& key,
                        const std::string& item_name) {
  ReportProblem(
      context, key, ErrorCode::kConflict,
      item_name +
          " exists already; accepted: a new item, or an entry under change");
}

// Calls `apply(key, element, item_name)` for each element of `list` that the
// note has not named before. `get_item_name(element)` returns the item's name,
// such as "upstream a1"; `list_name` is the key of the list, such as
// "add.upstreams".
template <class List, class GetItemName, class ApplyElement>
void ForEachUniqueItem(ApplyContext& context,
                       const char* list_name,
                       const List& list,
                       GetItemName get_item_name,
                       ApplyElement apply) {
  for (std::size_t i = 0; i < list.size(); ++i) {
    const std::string key = ListElementKey(list_name, i);
    const std::string item_name = get_item_name(list[i]);
    if (CheckUnique(context, key, item_name))
      apply(key, list[i], item_name);
  }
}

std::string ServiceItemName(const base::ServiceId& id) {
  return "service " + id.value;
}

std::string UpstreamItemName(const base::UpstreamId& id) {
  return "upstream " + id.value;
}

std::string RouteItemName(const RouteKey& key) {
  return "route " + ToString(key);
}

std::string AccountItemName(const base::AccountId& id) {
  return "account " + id.value;
}

void RemoveRoute(ApplyContext& context, const RouteKey& key) {
  const Route* route = FindRoute(context.draft, key);
  context.draft.withdrawn_routes[key] = route->service;
  context.draft.routes[key] = std::nullopt;
}

void WithdrawRoutes(ApplyContext& context) {
  ForEachUniqueItem(context, "withdraw.routes", context.note->withdrawn_routes,
                    RouteItemName,
                    [&](const std::string& key, const RouteKey& route,
                        const std::string& item_name) {
                      if (FindRoute(context.draft, route) == nullptr)
                        return ReportUnknownItem(context, key, item_name);
                      RemoveRoute(context, route);
                    });
}

void WithdrawUpstreams(ApplyContext& context) {
  ForEachUniqueItem(
      context, "withdraw.upstreams", context.note->withdrawn_upstreams,
      UpstreamItemName,
      [&](const std::string& key, const base::UpstreamId& id,
          const std::string& item_name) {
        const auto service_id = FindServiceOfUpstream(context.draft, id);
        if (!service_id)
          return ReportUnknownItem(context, key, item_name);
        FindMutableService(context.draft, *service_id)->upstreams.erase(id);
      });
}

void WithdrawAccounts(ApplyContext& context) {
  ForEachUniqueItem(context, "withdraw.accounts",
                    context.note->withdrawn_accounts, AccountItemName,
                    [&](const std::string& key, const base::AccountId& id,
                        const std::string& item_name) {
                      if (FindAccount(context.draft, id) == nullptr)
                        return ReportUnknownItem(context, key, item_name);
                      context.draft.accounts[id] = std::nullopt;
                    });
}

void WithdrawServices(ApplyContext& context) {
  ForEachUniqueItem(
      context, "withdraw.services", context.note->withdrawn_services,
      ServiceItemName,
      [&](const std::string& key, const base::ServiceId& id,
          const std::string& item_name) {
        if (FindService(context.draft, id) == nullptr)
          return ReportUnknownItem(context, key, item_name);
        for (const RouteKey& route : RoutesToService(context.draft, id))
          RemoveRoute(context, route);
        context.draft.services[id] = std::nullopt;
      });
}

void AddAndChangeServices(ApplyContext& context) {
  const auto get_item_name = [](const ServiceDefinition& definition) {
    return ServiceItemName(definition.id);
  };
  ForEachUniqueItem(
      context, "add.services", context.note->added_services, get_item_name,
      [&](const std::string& key, const ServiceDefinition& definition,
          const std::string& item_name) {
        if (FindService(context.draft, definition.id) != nullptr)
          return ReportExistingItem(context, key, item_name);
        context.draft.services[definition.id] =
            Service{definition.id, definition.policy, {}};
      });
  ForEachUniqueItem(
      context, "change.services", context.note->changed_services, get_item_name,
      [&](const std::string& key, const ServiceDefinition& definition,
          const std::string& item_name) {
        Service* service = FindMutableService(context.draft, definition.id);
        if (service == nullptr)
          return ReportUnknownItem(context, key, item_name);
        service->policy = definition.policy;
      });
}

void PutUpstream(ApplyContext& context,
                 const std::string& key,
                 const UpstreamOfService& service_upstream) {
  Service* service =
      FindMutableService(context.draft, service_upstream.service);
  if (service == nullptr) {
    return ReportUnknownItem(context, key + ".service",
                             ServiceItemName(service_upstream.service));
  }
  service->upstreams[service_upstream.upstream.id] = service_upstream.upstream;
}

void AddAndChangeUpstreams(ApplyContext& context) {
  const auto get_item_name = [](const UpstreamOfService& service_upstream) {
    return UpstreamItemName(service_upstream.upstream.id);
  };
  ForEachUniqueItem(
      context, "add.upstreams", context.note->added_upstreams, get_item_name,
      [&](const std::string& key, const UpstreamOfService& service_upstream,
          const std::string& item_name) {
        if (FindServiceOfUpstream(context.draft, service_upstream.upstream.id))
          return ReportExistingItem(context, key, item_name);
        PutUpstream(context, key, service_upstream);
      });
  ForEachUniqueItem(
      context, "change.upstreams", context.note->changed_upstreams,
      get_item_name,
      [&](const std::string& key, const UpstreamOfService& service_upstream,
          const std::string& item_name) {
        const auto service_id =
            FindServiceOfUpstream(context.draft, service_upstream.upstream.id);
        if (!service_id)
          return ReportUnknownItem(context, key, item_name);
        FindMutableService(context.draft, *service_id)
            ->upstreams.erase(service_upstream.upstream.id);
        PutUpstream(context, key, service_upstream);
      });
}

void PutRoute(ApplyContext& context,
              const std::string& key,
              const Route& route) {
  if (FindService(context.draft, route.service) == nullptr) {
    return ReportUnknownItem(context, key + ".service",
                             ServiceItemName(route.service));
  }
  context.draft.routes[route.key] = route;
  context.draft.withdrawn_routes[route.key] = std::nullopt;
}

void AddAndChangeRoutes(ApplyContext& context) {
  const auto get_item_name = [](const Route& route) {
    return RouteItemName(route.key);
  };
  ForEachUniqueItem(context, "add.routes", context.note->added_routes,
                    get_item_name,
                    [&](const std::string& key, const Route& route,
                        const std::string& item_name) {
                      if (FindRoute(context.draft, route.key) != nullptr)
                        return ReportExistingItem(context, key, item_name);
                      PutRoute(context, key, route);
                    });
  ForEachUniqueItem(context, "change.routes", context.note->changed_routes,
                    get_item_name,
                    [&](const std::string& key, const Route& route,
                        const std::string& item_name) {
                      if (FindRoute(context.draft, route.key) == nullptr)
                        return ReportUnknownItem(context, key, item_name);
                      PutRoute(context, key, route);
                    });
}

void AddAndChangeAccounts(ApplyContext& context) {
  const auto get_item_name = [](const Account& account) {
    return AccountItemName(account.id);
  };
  ForEachUniqueItem(context, "add.accounts", context.note->added_accounts,
                    get_item_name,
                    [&](const std::string& key, const Account& account,
                        const std::string& item_name) {
                      if (FindAccount(context.draft, account.id) != nullptr)
                        return ReportExistingItem(context, key, item_name);
                      context.draft.accounts[account.id] = account;
                    });
  ForEachUniqueItem(context, "change.accounts", context.note->changed_accounts,
                    get_item_name,
                    [&](const std::string& key, const Account& account,
                        const std::string& item_name) {
                      if (FindAccount(context.draft, account.id) == nullptr)
                        return ReportUnknownItem(context, key, item_name);
                      context.draft.accounts[account.id] = account;
                    });
}

std::uint64_t ListedSlotsBefore(const ApplyContext& context,
                                const base::ServiceId& id) {
  const auto found = context.draft.base->services.find(id);
  if (found == context.draft.base->services.end())
    return 0;
  return ListedSlots(found->second);
}

void CheckFloor(ApplyContext& context, const Service& service) {
  const double floor = service.policy.floor;
  const std::uint64_t slots_before = ListedSlotsBefore(context, service.id);
  const std::uint64_t slots_after = ListedSlots(service);
  const std::uint64_t required_slots = FloorSlots(floor, slots_before);
  const bool is_empty = floor > 0 && service.upstreams.empty();
  if (slots_after >= required_slots && !is_empty)
    return;
  ReportProblem(context, "", ErrorCode::kRefused,
                "below_floor: service " + service.id.value + " would keep " +
                    std::to_string(slots_after) + " of " +
                    std::to_string(slots_before) +
                    " slots; accepted: at least " +
                    std::to_string(std::max<std::uint64_t>(required_slots, 1)) +
                    " (floor " + std::to_string(floor) + ")");
}

void CheckFloors(ApplyContext& context) {
  for (const auto& [id, service] : context.draft.services) {
    if (service)
      CheckFloor(context, *service);
  }
}

ApplyContext ApplyToDraft(const Configuration& configuration,
                          const ReleaseNote& note) {
  ApplyContext context;
  context.draft.base = &configuration;
  context.note = &note;
  WithdrawRoutes(context);
  WithdrawUpstreams(context);
  WithdrawAccounts(context);
  WithdrawServices(context);
  AddAndChangeServices(context);
  AddAndChangeUpstreams(context);
  AddAndChangeRoutes(context);
  AddAndChangeAccounts(context);
  CheckFloors(context);
  return context;
}

base::Error MakeApplyError(const ApplyContext& context) {
  return JoinProblems(context.problems, base::Step::kApplyNote,
                      context.note->source.file_name);
}

}  // namespace

base::Result<void> ApplyNote(Configuration& configuration,
                             const ReleaseNote& note,
                             ApplyMode mode) {
  const ApplyContext context = ApplyToDraft(configuration, note);
  if (!context.problems.empty())
    return MakeApplyError(context);
  if (mode == ApplyMode::kApply)
    MergeDraft(context.draft, configuration);
  return boost::outcome_v2::success();
}

base::Result<void> CheckNote(const Configuration& configuration,
                             const ReleaseNote& note) {
  const ApplyContext context = ApplyToDraft(configuration, note);
  if (!context.problems.empty())
    return MakeApplyError(context);
  return boost::outcome_v2::success();
}

base::Result<Configuration> ApplyNoteToCopy(const Configuration& configuration,
                                            const ReleaseNote& note) {
  Configuration copy = configuration;
  BOOST_OUTCOME_TRYV(ApplyNote(copy, note, ApplyMode::kApply));
  return copy;
}

}  // namespace poplarfork::note
