#include "release/key_func.h"

#include <charconv>

namespace poplarfork::release {

namespace {

constexpr std::string_view kLogPrefix = "poplarfork/log/";
constexpr std::string_view kSnapshotPrefix = "poplarfork/snapshot/";
constexpr std::size_t kRevisionDigits = 20;
constexpr std::size_t kChunkDigits = 6;

std::string PadWithZeros(std::uint64_t number, std::size_t digits) {
  const std::string text = std::to_string(number);
  const std::size_t zeros = digits > text.size() ? digits - text.size() : 0;
  return std::string(zeros, '0') + text;
}

// Returns a key after all keys that consist of `prefix` and a number. ':' is
// the character after '9'.
std::string RangeEndOfPrefix(std::string_view prefix) {
  return std::string(prefix) + ":";
}

}  // namespace

std::string EntryKey(base::Revision revision) {
  return std::string(kLogPrefix) +
         PadWithZeros(revision.value, kRevisionDigits);
}

std::string LogRangeEnd() {
  return RangeEndOfPrefix(kLogPrefix);
}

std::string SnapshotKey(base::Revision revision, std::uint32_t chunk) {
  return std::string(kSnapshotPrefix) +
         PadWithZeros(revision.value, kRevisionDigits) + "/" +
         PadWithZeros(chunk, kChunkDigits);
}

std::string SnapshotRangeEnd() {
  return RangeEndOfPrefix(kSnapshotPrefix);
}

std::optional<base::Revision> ParseSnapshotRevision(std::string_view key) {
  if (!key.starts_with(kSnapshotPrefix))
    return std::nullopt;
  key.remove_prefix(kSnapshotPrefix.size());
  const std::string_view digits = key.substr(0, kRevisionDigits);
  base::Revision revision;
  const char* last = digits.data() + digits.size();
  const auto [end, error] =
      std::from_chars(digits.data(), last, revision.value);
  if (digits.size() != kRevisionDigits || error != std::errc() || end != last)
    return std::nullopt;
  return revision;
}

}  // namespace poplarfork::release
