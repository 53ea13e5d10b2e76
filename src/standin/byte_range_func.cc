#include "standin/byte_range_func.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace poplarfork::standin {

namespace {

std::optional<std::uint64_t> ParseUint64(std::string_view text) {
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end)
    return std::nullopt;
  return number;
}

RangeSelection SelectSuffixRange(std::string_view length_text,
                                 std::uint64_t size) {
  const auto count = ParseUint64(length_text);
  if (!count)
    return {};
  if (*count == 0 || size == 0)
    return {RangeKind::kUnsatisfiable, {}};
  return {RangeKind::kPartialBody, {size - std::min(*count, size), size - 1}};
}

}  // namespace

RangeSelection SelectRange(std::string_view header, std::uint64_t size) {
  constexpr std::string_view kUnitPrefix = "bytes=";
  const std::size_t dash = header.find('-');
  if (!header.starts_with(kUnitPrefix) || dash == std::string_view::npos)
    return {};
  const std::string_view first_text =
      header.substr(kUnitPrefix.size(), dash - kUnitPrefix.size());
  const std::string_view last_text = header.substr(dash + 1);
  if (first_text.empty())
    return SelectSuffixRange(last_text, size);
  const auto first = ParseUint64(first_text);
  const std::optional<std::uint64_t> last =
      last_text.empty() ? std::numeric_limits<std::uint64_t>::max()
                        : ParseUint64(last_text);
  if (!first || !last || *last < *first)
    return {};
  if (*first >= size)
    return {RangeKind::kUnsatisfiable, {}};
  return {RangeKind::kPartialBody, {*first, std::min(*last, size - 1)}};
}

}  // namespace poplarfork::standin
