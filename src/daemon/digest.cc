#include "daemon/digest.h"

#include <array>

namespace poplarfork::daemon {

Digest::Digest() : context(EVP_MD_CTX_new()) {
  EVP_DigestInit_ex(this->context.get(), EVP_sha256(), nullptr);
}

void Digest::Update(std::string_view part) {
  EVP_DigestUpdate(this->context.get(), part.data(), part.size());
}

std::string Digest::FinalizeBase64() {
  std::array<unsigned char, EVP_MAX_MD_SIZE> hash{};
  unsigned size = 0;
  EVP_DigestFinal_ex(this->context.get(), hash.data(), &size);
  // Base64 takes 4 characters for every 3 bytes, and EVP_EncodeBlock adds a
  // terminating zero.
  std::array<unsigned char, EVP_MAX_MD_SIZE / 3 * 4 + 8> text{};
  const int length =
      EVP_EncodeBlock(text.data(), hash.data(), static_cast<int>(size));
  return {text.begin(), text.begin() + length};
}

}  // namespace poplarfork::daemon
