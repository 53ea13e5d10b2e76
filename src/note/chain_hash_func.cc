#include "note/chain_hash_func.h"

#include "base/hash_func.h"

namespace poplarfork::note {

namespace {

// Appends the field with its length in front. Without the length, the fields
// "ab" and "c" would give the same hash as "a" and "bc".
void AppendField(std::string& data, const std::string& field) {
  data += std::to_string(field.size());
  data += ':';
  data += field;
}

std::string ToHex(std::uint64_t value) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text(16, '0');
  for (auto digit = text.rbegin(); digit != text.rend(); ++digit) {
    *digit = kDigits[value & 0xf];
    value >>= 4;
  }
  return text;
}

}  // namespace

std::string ChainHash(const proto::LogEntry& entry) {
  std::string data;
  AppendField(data, entry.predecessor_hash());
  AppendField(data, std::to_string(entry.revision()));
  AppendField(data, entry.note_id());
  AppendField(data, entry.author());
  AppendField(data, std::to_string(entry.published_unix_ms()));
  AppendField(data, entry.note_yaml());
  return ToHex(base::StableHash(data));
}

}  // namespace poplarfork::note
