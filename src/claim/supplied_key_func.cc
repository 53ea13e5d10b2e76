#include "claim/supplied_key_func.h"

#include <sodium/crypto_generichash.h>

#include <array>
#include <cstring>
#include <string>

#include "base/hash_func.h"

namespace poplarfork::claim {

namespace {

// Returns the text to hash. The length of the account in front keeps ("a",
// "bc") and ("ab", "c") apart.
std::string HashInput(const base::AccountId& account, std::string_view key) {
  std::string text = std::to_string(account.value.size());
  text += ':';
  text += account.value;
  text += key;
  return text;
}

}  // namespace

RunKey SuppliedRunKey(const base::AccountId& account, std::string_view key) {
  // The hash is a cryptographic one, because callers choose the keys and a
  // collision would make a new order look like an old one.
  const std::string text = HashInput(account, key);
  std::array<unsigned char, crypto_generichash_BYTES_MIN> hash = {};
  crypto_generichash(hash.data(), hash.size(),
                     reinterpret_cast<const unsigned char*>(text.data()),
                     text.size(), nullptr, 0);
  RunKey run_key;
  static_assert(sizeof(hash) == sizeof(run_key.high) + sizeof(run_key.low));
  std::memcpy(&run_key.high, hash.data(), sizeof(run_key.high));
  std::memcpy(&run_key.low, hash.data() + sizeof(run_key.high),
              sizeof(run_key.low));
  return run_key;
}

Shard ShardOf(const base::AccountId& account, std::string_view key) {
  return {base::StableHash(HashInput(account, key)) % kShardCount};
}

}  // namespace poplarfork::claim
