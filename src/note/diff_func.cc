#include "note/diff_func.h"

#include <map>

#include "note/apply_note_func.h"
#include "note/describe_func.h"
#include "note/route_text_func.h"

namespace poplarfork::note {

namespace {

// Maps the name of an item, such as "upstream a1", to a description of its
// values.
using ItemTexts = std::map<std::string, std::string>;

ItemTexts ServiceTexts(const Configuration& configuration) {
  ItemTexts texts;
  for (const auto& [id, service] : configuration.services)
    texts["service " + id.value] = Describe(service.policy);
  return texts;
}

ItemTexts UpstreamTexts(const Configuration& configuration) {
  ItemTexts texts;
  for (const auto& [id, service] : configuration.services) {
    for (const auto& [upstream_id, upstream] : service.upstreams) {
      texts["upstream " + upstream_id.value] =
          Describe(UpstreamOfService{id, upstream});
    }
  }
  return texts;
}

ItemTexts RouteTexts(const Configuration& configuration) {
  ItemTexts texts;
  for (const auto& [key, route] : configuration.routes)
    texts["route " + ToString(key)] = Describe(route);
  return texts;
}

ItemTexts AccountTexts(const Configuration& configuration) {
  ItemTexts texts;
  for (const auto& [id, account] : configuration.accounts)
    texts["account " + id.value] = Describe(account);
  return texts;
}

void Compare(const ItemTexts& before, const ItemTexts& after, Diff& diff) {
  for (const auto& [item, text] : before) {
    const auto found = after.find(item);
    if (found == after.end())
      diff.push_back(DiffLine{DiffKind::kWithdrawn, item, text, ""});
    else if (found->second != text)
      diff.push_back(DiffLine{DiffKind::kChanged, item, text, found->second});
  }
  for (const auto& [item, text] : after) {
    if (!before.contains(item))
      diff.push_back(DiffLine{DiffKind::kAdded, item, "", text});
  }
}

}  // namespace

base::Result<Diff> DiffNote(const Configuration& configuration,
                            const ReleaseNote& note) {
  const auto applied = ApplyNote(configuration, note);
  if (!applied.has_value())
    return applied.error();
  const Configuration& after = applied.value();
  Diff diff;
  Compare(ServiceTexts(configuration), ServiceTexts(after), diff);
  Compare(UpstreamTexts(configuration), UpstreamTexts(after), diff);
  Compare(RouteTexts(configuration), RouteTexts(after), diff);
  Compare(AccountTexts(configuration), AccountTexts(after), diff);
  return diff;
}

std::string ToString(const DiffLine& line) {
  switch (line.kind) {
    case DiffKind::kAdded:
      return "+ " + line.item + ": " + line.after;
    case DiffKind::kWithdrawn:
      return "- " + line.item + ": " + line.before;
    case DiffKind::kChanged:
      return "~ " + line.item + ": " + line.before + " -> " + line.after;
  }
  return line.item;
}

}  // namespace poplarfork::note
