#pragma once

#include <openssl/evp.h>

#include <memory>
#include <string>
#include <string_view>

namespace poplarfork::daemon {

// Computes the SHA-256 hash of data that arrives in parts.
class Digest {
 public:
  Digest();

  void Update(std::string_view part);

  // Returns the hash of all parts in base64. This may be called only once,
  // because it finalizes the hash context.
  std::string FinalizeBase64();

 private:
  struct ContextDeleter {
    void operator()(EVP_MD_CTX* context) const { EVP_MD_CTX_free(context); }
  };

  std::unique_ptr<EVP_MD_CTX, ContextDeleter> context;
};

}  // namespace poplarfork::daemon
