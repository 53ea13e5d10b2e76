#include "note/diff_func.h"

#include <map>

#include "note/apply_note_func.h"
#include "note/describe_func.h"
#include "note/route_text_func.h"

namespace poplarfork::note {

namespace {

// Maps the name of an item, such as "upstream a1", to a description of its
// values.
using ItemDescriptions = std::map<std::string, std::string>;

ItemDescriptions DescribeServices(const Configuration& configuration) {
  ItemDescriptions descriptions;
  for (const auto& [id, service] : configuration.services)
    descriptions["service " + id.value] = Describe(service.policy);
  return descriptions;
}

ItemDescriptions DescribeUpstreams(const Configuration& configuration) {
  ItemDescriptions descriptions;
  for (const auto& [id, service] : configuration.services) {
    for (const auto& [upstream_id, upstream] : service.upstreams) {
      descriptions["upstream " + upstream_id.value] =
          Describe(UpstreamOfService{id, upstream});
    }
  }
  return descriptions;
}

ItemDescriptions DescribeRoutes(const Configuration& configuration) {
  ItemDescriptions descriptions;
  for (const auto& [key, route] : configuration.routes)
    descriptions["route " + ToString(key)] = Describe(route);
  return descriptions;
}

ItemDescriptions DescribeAccounts(const Configuration& configuration) {
  ItemDescriptions descriptions;
  for (const auto& [id, account] : configuration.accounts)
    descriptions["account " + id.value] = Describe(account);
  return descriptions;
}

void AppendDifferences(const ItemDescriptions& before,
                       const ItemDescriptions& after,
                       Diff& diff) {
  for (const auto& [item_name, description] : before) {
    const auto found = after.find(item_name);
    if (found == after.end())
      diff.push_back(
          DiffLine{DiffKind::kWithdrawn, item_name, description, ""});
    else if (found->second != description)
      diff.push_back(
          DiffLine{DiffKind::kChanged, item_name, description, found->second});
  }
  for (const auto& [item_name, description] : after) {
    if (!before.contains(item_name))
      diff.push_back(DiffLine{DiffKind::kAdded, item_name, "", description});
  }
}

}  // namespace

base::Result<Diff> DiffNote(const Configuration& configuration,
                            const ReleaseNote& note) {
  const auto applied = ApplyNoteToCopy(configuration, note);
  if (!applied.has_value())
    return applied.error();
  const Configuration& after = applied.value();
  Diff diff;
  AppendDifferences(DescribeServices(configuration), DescribeServices(after),
                    diff);
  AppendDifferences(DescribeUpstreams(configuration), DescribeUpstreams(after),
                    diff);
  AppendDifferences(DescribeRoutes(configuration), DescribeRoutes(after), diff);
  AppendDifferences(DescribeAccounts(configuration), DescribeAccounts(after),
                    diff);
  return diff;
}

std::string ToString(const DiffLine& line) {
  switch (line.kind) {
    case DiffKind::kAdded:
      return "+ " + line.item_name + ": " + line.after;
    case DiffKind::kWithdrawn:
      return "- " + line.item_name + ": " + line.before;
    case DiffKind::kChanged:
      return "~ " + line.item_name + ": " + line.before + " -> " + line.after;
  }
  return line.item_name;
}

}  // namespace poplarfork::note
