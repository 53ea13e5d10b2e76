#pragma once

#include <string>
#include <string_view>

#include "base/ids_type.h"
#include "base/result_type.h"
#include "base/time_type.h"
#include "claim/key_generator_type.h"
#include "claim/minted_key_type.h"

namespace poplarfork::claim {

// Time for which a minted key may be used.
inline constexpr base::Duration kMintedKeyLifetime = std::chrono::minutes(10);

// Mints a key for `account`, in the form
// "pf1_<IP:port>_<incarnation>_<counter>_<milliseconds>_<hash>" with all
// numbers in hexadecimal digits.
std::string MintKey(KeyGenerator& key_generator,
                    const base::AccountId& account,
                    base::TimePoint now);

// Returns whether `text` has the prefix of minted keys.
bool HasMintedKeyPrefix(std::string_view text);

// Parses a minted key. Errors: `kMalformed`.
base::Result<MintedKey> ParseMintedKey(std::string_view text);

// Verifies with the keyed hash that this incarnation minted `key` for
// `account`.
bool VerifyMintedKey(const KeyGenerator& key_generator,
                     const MintedKey& key,
                     const base::AccountId& account);

// Returns the time that has passed since `key` was minted.
base::Duration KeyAge(const KeyGenerator& key_generator,
                      const MintedKey& key,
                      base::TimePoint now);

}  // namespace poplarfork::claim
