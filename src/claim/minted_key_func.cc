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

constexpr std::string_view kPrefix = "pf1_";
constexpr char kSeparator = '_';
constexpr int kHexadecimal = 16;
constexpr std::size_t kLongestKey = 160;

static_assert(crypto_shorthash_KEYBYTES == sizeof(MintSecret));
static_assert(crypto_shorthash_BYTES == sizeof(std::uint64_t));

std::string Hex(std::uint64_t number) {
  std::array<char, 16> digits = {};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 number, kHexadecimal);
  return {digits.data(), end.ptr};
}

std::optional<std::uint64_t> ReadHex(std::string_view text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, number, kHexadecimal);
  if (text.empty() || read.ec != std::errc() || read.ptr != end)
    return std::nullopt;
  return number;
}

// Returns the part of the key in front of the hash. The hash covers this part
// and the account.
std::string SignedPart(const MintedKey& key) {
  std::string text(kPrefix);
  text += key.daemon.value + kSeparator;
  text += Hex(key.incarnation.value) + kSeparator;
  text += Hex(key.counter) + kSeparator;
  text += Hex(static_cast<std::uint64_t>(key.minted_after.count()));
  return text;
}

// Separates the account from the hashed part by a character that cannot occur
// in that part, so that different keys and accounts never give the same text.
std::uint64_t KeyedHash(const Minter& minter,
                        const MintedKey& key,
                        const base::AccountId& account) {
  const std::string text = SignedPart(key) + '\n' + account.value;
  std::array<unsigned char, crypto_shorthash_BYTES> hash = {};
  crypto_shorthash(hash.data(),
                   reinterpret_cast<const unsigned char*>(text.data()),
                   text.size(), minter.secret.data());
  std::uint64_t number = 0;
  std::memcpy(&number, hash.data(), sizeof(number));
  return number;
}

// Removes the last separator and the text behind it from `text`, and returns
// the text behind it.
std::string_view TakeLast(std::string_view& text) {
  const std::size_t at = text.rfind(kSeparator);
  if (at == std::string_view::npos)
    return {};
  const std::string_view last = text.substr(at + 1);
  text = text.substr(0, at);
  return last;
}

base::Error Malformed() {
  return base::MakeError(base::ErrorCode::kMalformed, base::Step::kClaim, "",
                         "Idempotency-Key starts with pf1_ but is not a key "
                         "that a daemon minted");
}

}  // namespace

std::string MintKey(Minter& minter,
                    const base::AccountId& account,
                    base::TimePoint now) {
  MintedKey key{.daemon = minter.self, .incarnation = minter.incarnation};
  key.counter = ++minter.last_counter;
  key.minted_after =
      std::chrono::duration_cast<milliseconds>(now - minter.started);
  return SignedPart(key) + kSeparator + Hex(KeyedHash(minter, key, account));
}

bool LooksMinted(std::string_view text) {
  return text.starts_with(kPrefix);
}

base::Result<MintedKey> ParseMintedKey(std::string_view text) {
  if (!LooksMinted(text) || text.size() > kLongestKey)
    return Malformed();
  std::string_view rest = text.substr(kPrefix.size());
  const auto hash = ReadHex(TakeLast(rest));
  const auto minted = ReadHex(TakeLast(rest));
  const auto counter = ReadHex(TakeLast(rest));
  const auto incarnation = ReadHex(TakeLast(rest));
  if (!hash || !minted || !counter || !incarnation || rest.empty())
    return Malformed();
  const auto after = static_cast<milliseconds::rep>(*minted);
  return MintedKey{.daemon = {std::string(rest)},
                   .incarnation = {*incarnation},
                   .counter = *counter,
                   .minted_after = milliseconds(after),
                   .hash = *hash};
}

bool IsGenuine(const Minter& minter,
               const MintedKey& key,
               const base::AccountId& account) {
  return key.daemon == minter.self && key.incarnation == minter.incarnation &&
         key.hash == KeyedHash(minter, key, account);
}

base::Duration KeyAge(const Minter& minter,
                      const MintedKey& key,
                      base::TimePoint now) {
  return now - (minter.started + key.minted_after);
}

}  // namespace poplarfork::claim
