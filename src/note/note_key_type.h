#pragma once

#include <cstdint>
#include <string>

#include "note/release_note_type.h"

namespace poplarfork::note {

// The kinds of YAML mapping in a release note.
enum class MappingKind {
  kNote,
  kSection,
  kService,
  kUpstream,
  kRoute,
  kRouteKey,
  kAccount,
};

// Syntax that the value of a key must have.
enum class ValueType {
  // A nested mapping or list. The parser handles it separately from scalars.
  kNested,
  // Text without control characters; the limits are lengths in bytes.
  kText,
  // Letters, digits, '.', '_' and '-'; the limits are lengths in bytes.
  kName,
  // "IP:port" with a numeric IPv4 address or an IPv6 address in brackets.
  kAddress,
  // Lower-case host name without a port; the limits are lengths in bytes.
  kHost,
  // Path that starts with '/'; the limits are lengths in bytes.
  kPath,
  // Upper-case HTTP method; the limits are lengths in bytes.
  kMethod,
  kInteger,
  kNumber,
  kBoolean,
  // One of the words in `NoteKey::choices`.
  kChoice,
};

// A scalar that has been validated. Only the member that matches the key's type
// is set.
struct NoteValue {
  std::string text;
  double number = 0;
  bool flag = false;
};

// The mapping that is being parsed. Only the member that matches the kind of
// mapping is used.
struct NoteEntry {
  ReleaseNote note;
  ServiceDefinition service;
  UpstreamOfService upstream;
  Route route;
  Account account;
};

// Specification of one key of a release note.
struct NoteKey {
  MappingKind mapping;
  const char* name;
  ValueType type;
  // Inclusive limits of the value, or of its length for the text types.
  double minimum;
  double maximum;
  // True if the key must be present in an entry under `add` or `withdraw`. An
  // entry under `change` must have all keys except `method`, so that a
  // forgotten key does not fall back to its default.
  bool required;
  // For kChoice: the accepted words, separated by spaces.
  const char* choices;
  // Assigns the validated value to its place in the entry. It is nullptr for
  // kNested.
  void (*assign)(NoteEntry& entry, const NoteValue& value);
};

}  // namespace poplarfork::note
