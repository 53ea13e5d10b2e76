#include "peer/tag_func.h"

#include <array>

#include <sodium.h>

namespace poplarfork::peer {

namespace {

constexpr std::size_t kTagBytes = crypto_generichash_BYTES_MIN;

using KeyBytes = std::array<unsigned char, crypto_generichash_KEYBYTES>;

const unsigned char* ToBytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

// Derives the key of the keyed hash, which has 32 bytes, from a cluster key,
// which may have any length.
KeyBytes DeriveTagKey(const ClusterKey& key) {
  KeyBytes derived = {};
  crypto_generichash(derived.data(), derived.size(), ToBytes(key.value),
                     key.value.size(), nullptr, 0);
  return derived;
}

}  // namespace

std::string ComputeTag(const ClusterKey& key, std::string_view envelope) {
  if (key.value.empty())
    return {};
  const KeyBytes tag_key = DeriveTagKey(key);
  std::array<unsigned char, kTagBytes> tag = {};
  crypto_generichash(tag.data(), tag.size(), ToBytes(envelope), envelope.size(),
                     tag_key.data(), tag_key.size());
  return {tag.begin(), tag.end()};
}

bool IsTagValid(const ClusterKey& key,
                std::string_view envelope,
                std::string_view tag) {
  const std::string expected = ComputeTag(key, envelope);
  if (expected.size() != tag.size())
    return false;
  return sodium_memcmp(expected.data(), tag.data(), tag.size()) == 0;
}

}  // namespace poplarfork::peer
