#pragma once

#include <bit>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string>

namespace poplarfork::standin {

// Returns the 8 bytes with number `index` of the content that is generated from
// `seed`, by the finalizer of SplitMix64. The load generator computes the same
// content to check the body of a response.
inline std::uint64_t ContentWord(std::uint64_t seed, std::uint64_t index) {
  std::uint64_t word = seed * 0xD1342543DE82EF95ULL + index;
  word *= 0x9E3779B97F4A7C15ULL;
  word = (word ^ (word >> 30)) * 0xBF58476D1CE4E5B9ULL;
  word = (word ^ (word >> 27)) * 0x94D049BB133111EBULL;
  return word ^ (word >> 31);
}

// Returns `bytes` bytes, starting at `offset`, of the content that is generated
// from `seed`. The content is the sequence of 8-byte words in little-endian
// byte order.
inline std::string GenerateContent(std::uint64_t seed,
                                   std::uint64_t offset,
                                   std::size_t bytes) {
  static_assert(std::endian::native == std::endian::little);
  constexpr std::uint64_t kWordBytes = 8;
  const std::uint64_t skipped_bytes = offset % kWordBytes;
  const std::uint64_t first_word = offset / kWordBytes;
  const std::uint64_t word_count =
      (skipped_bytes + bytes + kWordBytes - 1) / kWordBytes;
  std::string content(word_count * kWordBytes, '\0');
  for (std::uint64_t index = 0; index < word_count; ++index) {
    const std::uint64_t word = ContentWord(seed, first_word + index);
    std::memcpy(content.data() + index * kWordBytes, &word, kWordBytes);
  }
  content.erase(0, skipped_bytes);
  content.resize(bytes);
  return content;
}

}  // namespace poplarfork::standin
