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
struct Run {
  ConfigurationDraft draft;
  const ReleaseNote* note = nullptr;
  NoteProblems problems;
  // Names, such as "upstream a1", of the items that the note has listed so far.
  std::set<std::string> named;
};

void Report(Run& run,
            const std::string& key,
            ErrorCode code,
            const std::string& detail) {
  const int line = LineOf(run.note->source, key);
  run.problems.push_back(NoteProblem{line, key, code, detail});
}

std::string ItemKey(const char* list, std::size_t index) {
  return std::string(list) + "[" + std::to_string(index) + "]";
}

// Returns true the first time that the note names the item. Otherwise reports
// the duplicate and returns false.
bool NameOnce(Run& run, const std::string& key, const std::string& item) {
  if (run.named.insert(item).second)
    return true;
  Report(run, key, ErrorCode::kConflict,
         "duplicate: " + item + "; accepted: each item once in a note");
  return false;
}

void ReportAbsent(Run& run, const std::string& key, const std::string& item) {
  Report(run, key, ErrorCode::kDanglingReference,
         item + " does not exist; accepted: an existing item");
}

void ReportPresent(Run& run, const std::string& key, const std::string& item) {
  Report(
      run, key, ErrorCode::kConflict,
      item + " exists already; accepted: a new item, or an entry under change");
}

// Calls `apply(key, element, item_name)` for each element of `list` that the
// note has not named before. `get_item_name(element)` returns the item's name,
// such as "upstream a1"; `list_name` is the key of the list, such as
// "add.upstreams".
template <class List, class Item, class Step>
void ForEach(Run& run,
             const char* name,
             const List& list,
             Item item,
             Step step) {
  for (std::size_t i = 0; i < list.size(); ++i) {
    const std::string key = ItemKey(name, i);
    const std::string text = item(list[i]);
    if (NameOnce(run, key, text))
      step(key, list[i], text);
  }
}

std::string ServiceItem(const base::ServiceId& id) {
  return "service " + id.value;
}

std::string UpstreamItem(const base::UpstreamId& id) {
  return "upstream " + id.value;
}

std::string RouteItem(const RouteKey& key) {
  return "route " + ToString(key);
}

std::string AccountItem(const base::AccountId& id) {
  return "account " + id.value;
}

void RemoveRoute(Run& run, const RouteKey& key) {
  const Route* route = FindRoute(run.draft, key);
  run.draft.withdrawn_routes[key] = route->service;
  run.draft.routes[key] = std::nullopt;
}

void WithdrawRoutes(Run& run) {
  ForEach(run, "withdraw.routes", run.note->withdrawn_routes, RouteItem,
          [&](const std::string& key, const RouteKey& route,
              const std::string& item) {
            if (FindRoute(run.draft, route) == nullptr)
              return ReportAbsent(run, key, item);
            RemoveRoute(run, route);
          });
}

void WithdrawUpstreams(Run& run) {
  ForEach(run, "withdraw.upstreams", run.note->withdrawn_upstreams,
          UpstreamItem,
          [&](const std::string& key, const base::UpstreamId& id,
              const std::string& item) {
            const auto owner = FindOwner(run.draft, id);
            if (!owner)
              return ReportAbsent(run, key, item);
            EditService(run.draft, *owner)->upstreams.erase(id);
          });
}

void WithdrawAccounts(Run& run) {
  ForEach(run, "withdraw.accounts", run.note->withdrawn_accounts, AccountItem,
          [&](const std::string& key, const base::AccountId& id,
              const std::string& item) {
            if (FindAccount(run.draft, id) == nullptr)
              return ReportAbsent(run, key, item);
            run.draft.accounts[id] = std::nullopt;
          });
}

void WithdrawServices(Run& run) {
  ForEach(run, "withdraw.services", run.note->withdrawn_services, ServiceItem,
          [&](const std::string& key, const base::ServiceId& id,
              const std::string& item) {
            if (FindService(run.draft, id) == nullptr)
              return ReportAbsent(run, key, item);
            for (const RouteKey& route : RoutesTo(run.draft, id))
              RemoveRoute(run, route);
            run.draft.services[id] = std::nullopt;
          });
}

void AddServices(Run& run) {
  const auto item = [](const ServiceHeader& header) {
    return ServiceItem(header.id);
  };
  ForEach(
      run, "add.services", run.note->added_services, item,
      [&](const std::string& key, const ServiceHeader& header,
          const std::string& text) {
        if (FindService(run.draft, header.id) != nullptr)
          return ReportPresent(run, key, text);
        run.draft.services[header.id] = Service{header.id, header.policy, {}};
      });
  ForEach(run, "change.services", run.note->changed_services, item,
          [&](const std::string& key, const ServiceHeader& header,
              const std::string& text) {
            Service* service = EditService(run.draft, header.id);
            if (service == nullptr)
              return ReportAbsent(run, key, text);
            service->policy = header.policy;
          });
}

void PutUpstream(Run& run,
                 const std::string& key,
                 const UpstreamOfService& entry) {
  Service* service = EditService(run.draft, entry.service);
  if (service == nullptr) {
    return ReportAbsent(run, key + ".service", ServiceItem(entry.service));
  }
  service->upstreams[entry.upstream.id] = entry.upstream;
}

void AddUpstreams(Run& run) {
  const auto item = [](const UpstreamOfService& entry) {
    return UpstreamItem(entry.upstream.id);
  };
  ForEach(run, "add.upstreams", run.note->added_upstreams, item,
          [&](const std::string& key, const UpstreamOfService& entry,
              const std::string& text) {
            if (FindOwner(run.draft, entry.upstream.id))
              return ReportPresent(run, key, text);
            PutUpstream(run, key, entry);
          });
  ForEach(run, "change.upstreams", run.note->changed_upstreams, item,
          [&](const std::string& key, const UpstreamOfService& entry,
              const std::string& text) {
            const auto owner = FindOwner(run.draft, entry.upstream.id);
            if (!owner)
              return ReportAbsent(run, key, text);
            EditService(run.draft, *owner)->upstreams.erase(entry.upstream.id);
            PutUpstream(run, key, entry);
          });
}

void PutRoute(Run& run, const std::string& key, const Route& route) {
  if (FindService(run.draft, route.service) == nullptr) {
    return ReportAbsent(run, key + ".service", ServiceItem(route.service));
  }
  run.draft.routes[route.key] = route;
  run.draft.withdrawn_routes[route.key] = std::nullopt;
}

void AddRoutes(Run& run) {
  const auto item = [](const Route& route) { return RouteItem(route.key); };
  ForEach(
      run, "add.routes", run.note->added_routes, item,
      [&](const std::string& key, const Route& route, const std::string& text) {
        if (FindRoute(run.draft, route.key) != nullptr)
          return ReportPresent(run, key, text);
        PutRoute(run, key, route);
      });
  ForEach(
      run, "change.routes", run.note->changed_routes, item,
      [&](const std::string& key, const Route& route, const std::string& text) {
        if (FindRoute(run.draft, route.key) == nullptr)
          return ReportAbsent(run, key, text);
        PutRoute(run, key, route);
      });
}

void AddAccounts(Run& run) {
  const auto item = [](const Account& account) {
    return AccountItem(account.id);
  };
  ForEach(run, "add.accounts", run.note->added_accounts, item,
          [&](const std::string& key, const Account& account,
              const std::string& text) {
            if (FindAccount(run.draft, account.id) != nullptr)
              return ReportPresent(run, key, text);
            run.draft.accounts[account.id] = account;
          });
  ForEach(run, "change.accounts", run.note->changed_accounts, item,
          [&](const std::string& key, const Account& account,
              const std::string& text) {
            if (FindAccount(run.draft, account.id) == nullptr)
              return ReportAbsent(run, key, text);
            run.draft.accounts[account.id] = account;
          });
}

std::uint64_t SlotsBefore(const Run& run, const base::ServiceId& id) {
  const auto found = run.draft.base->services.find(id);
  if (found == run.draft.base->services.end())
    return 0;
  return ListedSlots(found->second);
}

void CheckFloor(Run& run, const Service& service) {
  const double floor = service.policy.floor;
  const std::uint64_t before = SlotsBefore(run, service.id);
  const std::uint64_t after = ListedSlots(service);
  const std::uint64_t needed = FloorSlots(floor, before);
  const bool empty = floor > 0 && service.upstreams.empty();
  if (after >= needed && !empty)
    return;
  Report(run, "", ErrorCode::kRefused,
         "below_floor: service " + service.id.value + " would keep " +
             std::to_string(after) + " of " + std::to_string(before) +
             " slots; accepted: at least " +
             std::to_string(std::max<std::uint64_t>(needed, 1)) + " (floor " +
             std::to_string(floor) + ")");
}

void CheckFloors(Run& run) {
  for (const auto& [id, service] : run.draft.services) {
    if (service)
      CheckFloor(run, *service);
  }
}

Run RunOnDraft(const Configuration& configuration, const ReleaseNote& note) {
  Run run;
  run.draft.base = &configuration;
  run.note = &note;
  WithdrawRoutes(run);
  WithdrawUpstreams(run);
  WithdrawAccounts(run);
  WithdrawServices(run);
  AddServices(run);
  AddUpstreams(run);
  AddRoutes(run);
  AddAccounts(run);
  CheckFloors(run);
  return run;
}

base::Error ErrorOf(const Run& run) {
  return JoinProblems(run.problems, base::Step::kApplyNote,
                      run.note->source.file_name);
}

}  // namespace

base::Result<void> RunNote(Configuration& configuration,
                           const ReleaseNote& note,
                           Pass pass) {
  const Run run = RunOnDraft(configuration, note);
  if (!run.problems.empty())
    return ErrorOf(run);
  if (pass == Pass::kExecute)
    MergeDraft(run.draft, configuration);
  return boost::outcome_v2::success();
}

base::Result<void> TestNote(const Configuration& configuration,
                            const ReleaseNote& note) {
  const Run run = RunOnDraft(configuration, note);
  if (!run.problems.empty())
    return ErrorOf(run);
  return boost::outcome_v2::success();
}

base::Result<Configuration> ApplyNote(const Configuration& configuration,
                                      const ReleaseNote& note) {
  Configuration copy = configuration;
  BOOST_OUTCOME_TRYV(RunNote(copy, note, Pass::kExecute));
  return copy;
}

}  // namespace poplarfork::note
