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

// Which keys an entry of a section must have: under `add` the required ones,
// and under `change` all of them.
enum class Completeness {
  kRequiredKeys,
  kAllKeys,
};

// State of parsing one note.
struct Reader {
  NoteSource source;
  NoteProblems problems;
};

int LineOfNode(const YAML::Node& node) {
  return node.Mark().line + 1;
}

void Report(Reader& reader,
            const YAML::Node& node,
            const std::string& key,
            ErrorCode code,
            const std::string& detail) {
  reader.problems.push_back(NoteProblem{LineOfNode(node), key, code, detail});
}

void RecordLine(Reader& reader,
                const std::string& key,
                const YAML::Node& node) {
  reader.source.lines.push_back(NoteLine{key, LineOfNode(node)});
}

std::string Join(const std::string& path, const std::string& name) {
  return path.empty() ? name : path + "." + name;
}

std::string Index(const std::string& path, std::size_t index) {
  return path + "[" + std::to_string(index) + "]";
}

std::string KeyText(const YAML::Node& node) {
  return node.IsScalar() ? node.Scalar() : std::string("(not a string)");
}

void ReadScalar(Reader& reader,
                const NoteKey& key,
                const std::string& path,
                const YAML::Node& node,
                NoteEntry& entry) {
  const std::string accepted = "accepted: " + AcceptedValues(key);
  if (!node.IsScalar()) {
    Report(reader, node, path, ErrorCode::kWrongType, accepted);
    return;
  }
  const ScalarText scalar{node.Scalar(), node.Tag() == "!"};
  NoteValue value;
  const ErrorCode code = ReadValue(key, scalar, value);
  if (code != ErrorCode::kOk) {
    Report(reader, node, path, code,
           "'" + scalar.text.substr(0, 80) + "'; " + accepted);
    return;
  }
  key.store(entry, value);
}

// Reports keys that are not in the key table and keys that appear twice.
// Returns the names of all keys that are present.
std::set<std::string> CheckKeys(Reader& reader,
                                NoteItem item,
                                const std::string& path,
                                const YAML::Node& node) {
  std::set<std::string> seen;
  for (const auto& pair : node) {
    const std::string name = KeyText(pair.first);
    if (FindNoteKey(item, name) == nullptr) {
      Report(reader, pair.first, Join(path, name), ErrorCode::kUnknownKey,
             "accepted: " + AcceptedKeys(item));
    }
    if (!seen.insert(name).second) {
      Report(reader, pair.first, Join(path, name), ErrorCode::kConflict,
             "duplicate; accepted: each key once");
    }
  }
  return seen;
}

void CheckPresent(Reader& reader,
                  NoteItem item,
                  Completeness completeness,
                  const std::string& path,
                  const YAML::Node& node,
                  const std::set<std::string>& seen) {
  for (const NoteKey& key : NoteKeys()) {
    const bool optional = key.type == ValueType::kMethod;
    const bool needed =
        key.required || (completeness == Completeness::kAllKeys && !optional);
    if (key.item == item && needed && !seen.contains(key.name)) {
      Report(reader, node, Join(path, key.name), ErrorCode::kMissing,
             "accepted: " + AcceptedValues(key));
    }
  }
}

bool RequireMap(Reader& reader,
                NoteItem item,
                const std::string& path,
                const YAML::Node& node) {
  if (node.IsMap())
    return true;
  Report(reader, node, path, ErrorCode::kWrongType,
         "accepted: a mapping with the keys " + AcceptedKeys(item));
  return false;
}

NoteEntry ReadEntry(Reader& reader,
                    NoteItem item,
                    Completeness completeness,
                    const std::string& path,
                    const YAML::Node& node) {
  NoteEntry entry;
  if (!RequireMap(reader, item, path, node))
    return entry;
  const std::set<std::string> seen = CheckKeys(reader, item, path, node);
  for (const auto& pair : node) {
    const NoteKey* key = FindNoteKey(item, KeyText(pair.first));
    if (key == nullptr || key->type == ValueType::kNested)
      continue;
    const std::string key_path = Join(path, key->name);
    RecordLine(reader, key_path, pair.first);
    ReadScalar(reader, *key, key_path, pair.second, entry);
  }
  CheckPresent(reader, item, completeness, path, node, seen);
  return entry;
}

std::string ReadName(Reader& reader,
                     NoteItem item,
                     const std::string& path,
                     const YAML::Node& node) {
  NoteEntry entry;
  ReadScalar(reader, *FindNoteKey(item, "name"), path, node, entry);
  return node.IsScalar() ? node.Scalar() : std::string();
}

// Calls `parse_element(path, element)` for each element of the list `name` in
// the mapping `node`. `section` is the path of that mapping. A missing list is
// treated as empty.
template <class Read>
void ForEachElement(Reader& reader,
                    const std::string& section,
                    const char* name,
                    const YAML::Node& node,
                    Read read) {
  const YAML::Node list = node[name];
  if (!list)
    return;
  const std::string path = Join(section, name);
  if (!list.IsSequence()) {
    Report(reader, list, path, ErrorCode::kWrongType, "accepted: a list");
    return;
  }
  for (std::size_t i = 0; i < list.size(); ++i) {
    const std::string element = Index(path, i);
    RecordLine(reader, element, list[i]);
    read(element, list[i]);
  }
}

struct SectionLists {
  std::vector<ServiceHeader> services;
  std::vector<UpstreamOfService> upstreams;
  std::vector<Route> routes;
  std::vector<Account> accounts;
};

SectionLists ReadSection(Reader& reader,
                         const std::string& section,
                         Completeness completeness,
                         const YAML::Node& node) {
  SectionLists lists;
  if (!RequireMap(reader, NoteItem::kSection, section, node))
    return lists;
  CheckKeys(reader, NoteItem::kSection, section, node);
  const auto entry = [&](NoteItem item, const std::string& path,
                         const YAML::Node& element) {
    return ReadEntry(reader, item, completeness, path, element);
  };
  ForEachElement(reader, section, "services", node,
                 [&](const std::string& path, const YAML::Node& element) {
                   lists.services.push_back(
                       entry(NoteItem::kService, path, element).service);
                 });
  ForEachElement(reader, section, "upstreams", node,
                 [&](const std::string& path, const YAML::Node& element) {
                   lists.upstreams.push_back(
                       entry(NoteItem::kUpstream, path, element).upstream);
                 });
  ForEachElement(
      reader, section, "routes", node,
      [&](const std::string& path, const YAML::Node& element) {
        lists.routes.push_back(entry(NoteItem::kRoute, path, element).route);
      });
  ForEachElement(reader, section, "accounts", node,
                 [&](const std::string& path, const YAML::Node& element) {
                   lists.accounts.push_back(
                       entry(NoteItem::kAccount, path, element).account);
                 });
  return lists;
}

void ReadWithdraw(Reader& reader, const YAML::Node& node, ReleaseNote& note) {
  const std::string section = "withdraw";
  if (!RequireMap(reader, NoteItem::kSection, section, node))
    return;
  CheckKeys(reader, NoteItem::kSection, section, node);
  ForEachElement(reader, section, "services", node,
                 [&](const std::string& path, const YAML::Node& element) {
                   note.withdrawn_services.push_back(
                       {ReadName(reader, NoteItem::kService, path, element)});
                 });
  ForEachElement(reader, section, "upstreams", node,
                 [&](const std::string& path, const YAML::Node& element) {
                   note.withdrawn_upstreams.push_back(
                       {ReadName(reader, NoteItem::kUpstream, path, element)});
                 });
  ForEachElement(reader, section, "routes", node,
                 [&](const std::string& path, const YAML::Node& element) {
                   note.withdrawn_routes.push_back(
                       ReadEntry(reader, NoteItem::kRouteKey,
                                 Completeness::kRequiredKeys, path, element)
                           .route.key);
                 });
  ForEachElement(reader, section, "accounts", node,
                 [&](const std::string& path, const YAML::Node& element) {
                   note.withdrawn_accounts.push_back(
                       {ReadName(reader, NoteItem::kAccount, path, element)});
                 });
}

void ReadSections(Reader& reader, const YAML::Node& root, ReleaseNote& note) {
  if (const YAML::Node add = root["add"]) {
    SectionLists lists =
        ReadSection(reader, "add", Completeness::kRequiredKeys, add);
    note.added_services = std::move(lists.services);
    note.added_upstreams = std::move(lists.upstreams);
    note.added_routes = std::move(lists.routes);
    note.added_accounts = std::move(lists.accounts);
  }
  if (const YAML::Node change = root["change"]) {
    SectionLists lists =
        ReadSection(reader, "change", Completeness::kAllKeys, change);
    note.changed_services = std::move(lists.services);
    note.changed_upstreams = std::move(lists.upstreams);
    note.changed_routes = std::move(lists.routes);
    note.changed_accounts = std::move(lists.accounts);
  }
  if (const YAML::Node withdraw = root["withdraw"])
    ReadWithdraw(reader, withdraw, note);
  if (!root["add"] && !root["change"] && !root["withdraw"]) {
    Report(reader, root, "", ErrorCode::kMissing,
           "accepted: at least one of add, change and withdraw");
  }
}

ReleaseNote ReadRoot(Reader& reader, const YAML::Node& root) {
  if (!RequireMap(reader, NoteItem::kNote, "", root))
    return ReleaseNote{};
  ReleaseNote note =
      ReadEntry(reader, NoteItem::kNote, Completeness::kRequiredKeys, "", root)
          .note;
  ReadSections(reader, root, note);
  return note;
}

void ReportYamlError(Reader& reader, const YAML::Exception& error) {
  const int line = error.mark.is_null() ? 0 : error.mark.line + 1;
  reader.problems.push_back(NoteProblem{line, "", ErrorCode::kMalformed,
                                        "invalid YAML: " + error.msg});
}

}  // namespace

base::Result<ReleaseNote> ParseReleaseNote(std::string_view text,
                                           const std::string& file_name) {
  Reader reader;
  reader.source.file_name = file_name;
  if (text.size() > kMaxNoteBytes) {
    return base::MakeError(
        ErrorCode::kTooLarge, base::Step::kParseNote, file_name,
        std::to_string(text.size()) + " bytes; accepted: at most " +
            std::to_string(kMaxNoteBytes) + "; split the note");
  }
  ReleaseNote note;
  try {
    note = ReadRoot(reader, YAML::Load(std::string(text)));
  } catch (const YAML::Exception& error) {
    ReportYamlError(reader, error);
  }
  if (!reader.problems.empty()) {
    return JoinProblems(reader.problems, base::Step::kParseNote, file_name);
  }
  note.source = std::move(reader.source);
  return note;
}

}  // namespace poplarfork::note
