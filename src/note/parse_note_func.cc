#include "note/parse_note_func.h"

#include <yaml-cpp/yaml.h>

#include <set>

#include "base/error_func.h"
#include "note/note_key_func.h"
#include "note/note_problem_func.h"
#include "note/note_value_func.h"

namespace poplarfork::note {

namespace {

using base::ErrorCode;

// Which keys an entry of a section must have: under `add` and `withdraw` those
// that are marked as required, and under `change` all keys except `method`.
enum class Completeness {
  kRequiredKeys,
  kAllKeys,
};

// State of parsing one note.
struct ParseContext {
  NoteSource source;
  NoteProblems problems;
};

int NodeLine(const YAML::Node& node) {
  return node.Mark().line + 1;
}

void ReportProblem(ParseContext& context,
                   const YAML::Node& node,
                   const std::string& key,
                   ErrorCode code,
                   const std::string& detail) {
  context.problems.push_back(NoteProblem{NodeLine(node), key, code, detail});
}

void RecordLine(ParseContext& context,
                const std::string& key,
                const YAML::Node& node) {
  context.source.lines.push_back(NoteLine{key, NodeLine(node)});
}

std::string JoinPath(const std::string& path, const std::string& name) {
  return path.empty() ? name : path + "." + name;
}

std::string ElementPath(const std::string& path, std::size_t index) {
  return path + "[" + std::to_string(index) + "]";
}

std::string KeyName(const YAML::Node& node) {
  return node.IsScalar() ? node.Scalar() : std::string("(not a string)");
}

void ParseScalar(ParseContext& context,
                 const NoteKey& key,
                 const std::string& path,
                 const YAML::Node& node,
                 NoteEntry& entry) {
  const std::string accepted = "accepted: " + DescribeAcceptedValues(key);
  if (!node.IsScalar()) {
    ReportProblem(context, node, path, ErrorCode::kWrongType, accepted);
    return;
  }
  const ScalarText scalar{node.Scalar(), node.Tag() == "!"};
  NoteValue value;
  const ErrorCode code = ParseValue(key, scalar, value);
  if (code != ErrorCode::kOk) {
    ReportProblem(context, node, path, code,
                  "'" + scalar.text.substr(0, 80) + "'; " + accepted);
    return;
  }
  key.assign(entry, value);
}

// Reports keys that are not in the key table and keys that appear twice.
// Returns the names of all keys that are present.
std::set<std::string> CheckKeys(ParseContext& context,
                                MappingKind mapping,
                                const std::string& path,
                                const YAML::Node& node) {
  std::set<std::string> present_keys;
  for (const auto& key_and_value : node) {
    const std::string name = KeyName(key_and_value.first);
    if (FindNoteKey(mapping, name) == nullptr) {
      ReportProblem(context, key_and_value.first, JoinPath(path, name),
                    ErrorCode::kUnknownKey,
                    "accepted: " + AcceptedKeyNames(mapping));
    }
    if (!present_keys.insert(name).second) {
      ReportProblem(context, key_and_value.first, JoinPath(path, name),
                    ErrorCode::kConflict, "duplicate; accepted: each key once");
    }
  }
  return present_keys;
}

void CheckRequiredKeys(ParseContext& context,
                       MappingKind mapping,
                       Completeness completeness,
                       const std::string& path,
                       const YAML::Node& node,
                       const std::set<std::string>& present_keys) {
  for (const NoteKey& key : NoteKeys()) {
    const bool is_optional = key.type == ValueType::kMethod;
    const bool is_required =
        key.required ||
        (completeness == Completeness::kAllKeys && !is_optional);
    if (key.mapping == mapping && is_required &&
        !present_keys.contains(key.name)) {
      ReportProblem(context, node, JoinPath(path, key.name),
                    ErrorCode::kMissing,
                    "accepted: " + DescribeAcceptedValues(key));
    }
  }
}

bool CheckIsMapping(ParseContext& context,
                    MappingKind mapping,
                    const std::string& path,
                    const YAML::Node& node) {
  if (node.IsMap())
    return true;
  ReportProblem(
      context, node, path, ErrorCode::kWrongType,
      "accepted: a mapping with the keys " + AcceptedKeyNames(mapping));
  return false;
}

NoteEntry ParseEntry(ParseContext& context,
                     MappingKind mapping,
                     Completeness completeness,
                     const std::string& path,
                     const YAML::Node& node) {
  NoteEntry entry;
  if (!CheckIsMapping(context, mapping, path, node))
    return entry;
  const std::set<std::string> present_keys =
      CheckKeys(context, mapping, path, node);
  for (const auto& key_and_value : node) {
    const NoteKey* key = FindNoteKey(mapping, KeyName(key_and_value.first));
    if (key == nullptr || key->type == ValueType::kNested)
      continue;
    const std::string key_path = JoinPath(path, key->name);
    RecordLine(context, key_path, key_and_value.first);
    ParseScalar(context, *key, key_path, key_and_value.second, entry);
  }
  CheckRequiredKeys(context, mapping, completeness, path, node, present_keys);
  return entry;
}

std::string ParseName(ParseContext& context,
                      MappingKind mapping,
                      const std::string& path,
                      const YAML::Node& node) {
  NoteEntry entry;
  ParseScalar(context, *FindNoteKey(mapping, "name"), path, node, entry);
  return node.IsScalar() ? node.Scalar() : std::string();
}

// Calls `parse_element(path, element)` for each element of the list `name` in
// the mapping `node`. `section` is the path of that mapping. A missing list is
// treated as empty.
template <class ParseElement>
void ForEachElement(ParseContext& context,
                    const std::string& section,
                    const char* name,
                    const YAML::Node& node,
                    ParseElement parse_element) {
  const YAML::Node list = node[name];
  if (!list)
    return;
  const std::string path = JoinPath(section, name);
  if (!list.IsSequence()) {
    ReportProblem(context, list, path, ErrorCode::kWrongType,
                  "accepted: a list");
    return;
  }
  for (std::size_t i = 0; i < list.size(); ++i) {
    const std::string element_path = ElementPath(path, i);
    RecordLine(context, element_path, list[i]);
    parse_element(element_path, list[i]);
  }
}

struct SectionLists {
  std::vector<ServiceDefinition> services;
  std::vector<UpstreamOfService> upstreams;
  std::vector<Route> routes;
  std::vector<Account> accounts;
};

SectionLists ParseSection(ParseContext& context,
                          const std::string& section,
                          Completeness completeness,
                          const YAML::Node& node) {
  SectionLists lists;
  if (!CheckIsMapping(context, MappingKind::kSection, section, node))
    return lists;
  CheckKeys(context, MappingKind::kSection, section, node);
  const auto parse_entry = [&](MappingKind mapping, const std::string& path,
                               const YAML::Node& element) {
    return ParseEntry(context, mapping, completeness, path, element);
  };
  ForEachElement(
      context, section, "services", node,
      [&](const std::string& path, const YAML::Node& element) {
        lists.services.push_back(
            parse_entry(MappingKind::kService, path, element).service);
      });
  ForEachElement(
      context, section, "upstreams", node,
      [&](const std::string& path, const YAML::Node& element) {
        lists.upstreams.push_back(
            parse_entry(MappingKind::kUpstream, path, element).upstream);
      });
  ForEachElement(context, section, "routes", node,
                 [&](const std::string& path, const YAML::Node& element) {
                   lists.routes.push_back(
                       parse_entry(MappingKind::kRoute, path, element).route);
                 });
  ForEachElement(
      context, section, "accounts", node,
      [&](const std::string& path, const YAML::Node& element) {
        lists.accounts.push_back(
            parse_entry(MappingKind::kAccount, path, element).account);
      });
  return lists;
}

void ParseWithdrawSection(ParseContext& context,
                          const YAML::Node& node,
                          ReleaseNote& note) {
  const std::string section = "withdraw";
  if (!CheckIsMapping(context, MappingKind::kSection, section, node))
    return;
  CheckKeys(context, MappingKind::kSection, section, node);
  ForEachElement(context, section, "services", node,
                 [&](const std::string& path, const YAML::Node& element) {
                   note.withdrawn_services.push_back({ParseName(
                       context, MappingKind::kService, path, element)});
                 });
  ForEachElement(context, section, "upstreams", node,
                 [&](const std::string& path, const YAML::Node& element) {
                   note.withdrawn_upstreams.push_back({ParseName(
                       context, MappingKind::kUpstream, path, element)});
                 });
  ForEachElement(context, section, "routes", node,
                 [&](const std::string& path, const YAML::Node& element) {
                   note.withdrawn_routes.push_back(
                       ParseEntry(context, MappingKind::kRouteKey,
                                  Completeness::kRequiredKeys, path, element)
                           .route.key);
                 });
  ForEachElement(context, section, "accounts", node,
                 [&](const std::string& path, const YAML::Node& element) {
                   note.withdrawn_accounts.push_back({ParseName(
                       context, MappingKind::kAccount, path, element)});
                 });
}

void ParseSections(ParseContext& context,
                   const YAML::Node& root,
                   ReleaseNote& note) {
  if (const YAML::Node add = root["add"]) {
    SectionLists lists =
        ParseSection(context, "add", Completeness::kRequiredKeys, add);
    note.added_services = std::move(lists.services);
    note.added_upstreams = std::move(lists.upstreams);
    note.added_routes = std::move(lists.routes);
    note.added_accounts = std::move(lists.accounts);
  }
  if (const YAML::Node change = root["change"]) {
    SectionLists lists =
        ParseSection(context, "change", Completeness::kAllKeys, change);
    note.changed_services = std::move(lists.services);
    note.changed_upstreams = std::move(lists.upstreams);
    note.changed_routes = std::move(lists.routes);
    note.changed_accounts = std::move(lists.accounts);
  }
  if (const YAML::Node withdraw = root["withdraw"])
    ParseWithdrawSection(context, withdraw, note);
  if (!root["add"] && !root["change"] && !root["withdraw"]) {
    ReportProblem(context, root, "", ErrorCode::kMissing,
                  "accepted: at least one of add, change and withdraw");
  }
}

ReleaseNote ParseRoot(ParseContext& context, const YAML::Node& root) {
  if (!CheckIsMapping(context, MappingKind::kNote, "", root))
    return ReleaseNote{};
  ReleaseNote note = ParseEntry(context, MappingKind::kNote,
                                Completeness::kRequiredKeys, "", root)
                         .note;
  ParseSections(context, root, note);
  return note;
}

void ReportYamlError(ParseContext& context, const YAML::Exception& error) {
  const int line = error.mark.is_null() ? 0 : error.mark.line + 1;
  context.problems.push_back(NoteProblem{line, "", ErrorCode::kMalformed,
                                         "invalid YAML: " + error.msg});
}

}  // namespace

base::Result<ReleaseNote> ParseReleaseNote(std::string_view text,
                                           const std::string& file_name) {
  ParseContext context;
  context.source.file_name = file_name;
  if (text.size() > kMaxNoteBytes) {
    return base::MakeError(
        ErrorCode::kTooLarge, base::Step::kParseNote, file_name,
        std::to_string(text.size()) + " bytes; accepted: at most " +
            std::to_string(kMaxNoteBytes) + "; split the note");
  }
  ReleaseNote note;
  try {
    note = ParseRoot(context, YAML::Load(std::string(text)));
  } catch (const YAML::Exception& error) {
    ReportYamlError(context, error);
  }
  if (!context.problems.empty()) {
    return JoinProblems(context.problems, base::Step::kParseNote, file_name);
  }
  note.source = std::move(context.source);
  return note;
}

}  // namespace poplarfork::note
