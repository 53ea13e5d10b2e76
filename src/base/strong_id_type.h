#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace poplarfork::base {

// A numeric identifier. Each kind of identifier has its own `Tag`, so that the
// compiler rejects the use of one kind in place of another.
template <class Tag>
struct NumberId {
  std::uint64_t value = 0;

  // clang-tidy 14 mistakes the literal 0 with which the defaulted operator
  // compares for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const NumberId&, const NumberId&) = default;
};

// A textual identifier; `Tag` separates the kinds as in `NumberId`.
template <class Tag>
struct NameId {
  std::string value;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const NameId&, const NameId&) = default;
};

}  // namespace poplarfork::base

template <class Tag>
struct std::hash<poplarfork::base::NumberId<Tag>> {
  std::size_t operator()(
      const poplarfork::base::NumberId<Tag>& id) const noexcept {
    return std::hash<std::uint64_t>()(id.value);
  }
};

template <class Tag>
struct std::hash<poplarfork::base::NameId<Tag>> {
  std::size_t operator()(
      const poplarfork::base::NameId<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.value);
  }
};
