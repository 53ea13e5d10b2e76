#include "claim/minted_key_func.h"

#include <sodium/crypto_shorthash.h>

#include <array>
#include <charconv>
#include <cstring>
#include <optional>

#include "base/error_func.h"

namespace poplarfork::claim {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kMintedKeyPrefix = "pf1_";
constexpr char kSeparator = '_';
constexpr int kHexBase = 16;
constexpr std::size_t kMaxMintedKeyBytes = 160;

static_assert(crypto_shorthash_KEYBYTES == sizeof(MintSecret));
static_assert(crypto_shorthash_BYTES == sizeof(std::uint64_t));

std::string FormatHex(std::uint64_t number) {
  std::array<char, 16> digits = {};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 number, kHexBase);
  return {digits.data(), end.ptr};
}

std::optional<std::uint64_t> ParseHex(std::string_view text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number, kHexBase);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end)
    return std::nullopt;
  return number;
}

// Returns the part of the key in front of the hash. The hash covers this part
// and the account.
std::string HashedPart(const MintedKey& key) {
  std::string text(kMintedKeyPrefix);
  text += key.daemon.value + kSeparator;
  text += FormatHex(key.incarnation.value) + kSeparator;
  text += FormatHex(key.counter) + kSeparator;
  text += FormatHex(static_cast<std::uint64_t>(key.minted_after.count()));
  return text;
}

// Returns the keyed hash of `key` and `account`. The character between the two
// cannot occur in the hashed part of a key, so that different keys and accounts
// never give the same text.
std::uint64_t KeyedHash(const KeyGenerator& key_generator,
                        const MintedKey& key,
                        const base::AccountId& account) {
  const std::string text = HashedPart(key) + '\n' + account.value;
  std::array<unsigned char, crypto_shorthash_BYTES> hash = {};
  crypto_shorthash(hash.data(),
                   reinterpret_cast<const unsigned char*>(text.data()),
                   text.size(), key_generator.secret.data());
  std::uint64_t number = 0;
  std::memcpy(&number, hash.data(), sizeof(number));
  return number;
}

// Removes the last separator and the text behind it from `text`, and returns
// the text behind it.
std::string_view TakeLastField(std::string_view& text) {
  const std::size_t at = text.rfind(kSeparator);
  if (at == std::string_view::npos)
    return {};
  const std::string_view last = text.substr(at + 1);
  text = text.substr(0, at);
  return last;
}

base::Error MalformedKeyError() {
  return base::MakeError(base::ErrorCode::kMalformed, base::Step::kClaim, "",
                         "Idempotency-Key starts with pf1_ but is not a key "
                         "that a daemon minted");
}

}  // namespace

std::string MintKey(KeyGenerator& key_generator,
                    const base::AccountId& account,
                    base::TimePoint now) {
  MintedKey key{.daemon = key_generator.self,
                .incarnation = key_generator.incarnation};
  key.counter = ++key_generator.last_counter;
  key.minted_after =
      std::chrono::duration_cast<milliseconds>(now - key_generator.started_at);
  return HashedPart(key) + kSeparator +
         FormatHex(KeyedHash(key_generator, key, account));
}

bool HasMintedKeyPrefix(std::string_view text) {
  return text.starts_with(kMintedKeyPrefix);
}

base::Result<MintedKey> ParseMintedKey(std::string_view text) {
  if (!HasMintedKeyPrefix(text) || text.size() > kMaxMintedKeyBytes)
    return MalformedKeyError();
  std::string_view rest = text.substr(kMintedKeyPrefix.size());
  const auto hash = ParseHex(TakeLastField(rest));
  const auto minted_after = ParseHex(TakeLastField(rest));
  const auto counter = ParseHex(TakeLastField(rest));
  const auto incarnation = ParseHex(TakeLastField(rest));
  if (!hash || !minted_after || !counter || !incarnation || rest.empty())
    return MalformedKeyError();
  const auto minted_after_ms = static_cast<milliseconds::rep>(*minted_after);
  return MintedKey{.daemon = {std::string(rest)},
                   .incarnation = {*incarnation},
                   .counter = *counter,
                   .minted_after = milliseconds(minted_after_ms),
                   .hash = *hash};
}

bool VerifyMintedKey(const KeyGenerator& key_generator,
                     const MintedKey& key,
                     const base::AccountId& account) {
  return key.daemon == key_generator.self &&
         key.incarnation == key_generator.incarnation &&
         key.hash == KeyedHash(key_generator, key, account);
}

base::Duration KeyAge(const KeyGenerator& key_generator,
                      const MintedKey& key,
                      base::TimePoint now) {
  return now - (key_generator.started_at + key.minted_after);
}

}  // namespace poplarfork::claim
