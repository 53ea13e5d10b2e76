#include "standin/body_digest_func.h"

#include <algorithm>
#include <array>

#include <openssl/evp.h>
#include <boost/asio/post.hpp>

#include "standin/body_content_func.h"
#include "standin/json_func.h"

namespace poplarfork::standin {

namespace {

constexpr std::uint64_t kDigestBlockBytes = 256 * 1024;
constexpr std::size_t kMaxCachedDigests = 10000;

using DigestContext = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

// State of one digest that is computed block by block.
struct DigestComputation {
  boost::asio::any_io_executor loop;
  std::shared_ptr<DigestCache> cache;
  BodyId body;
  std::function<void(const std::string&)> on_done;
  DigestContext context{EVP_MD_CTX_new(), &EVP_MD_CTX_free};
  std::uint64_t offset = 0;
};

std::string FinishDigest(EVP_MD_CTX* context) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
  unsigned size = 0;
  EVP_DigestFinal_ex(context, bytes.data(), &size);
  return "sha-256=" + EncodeBase64({bytes.begin(), bytes.begin() + size});
}

void CacheDigest(DigestCache& cache,
                 const BodyId& body,
                 const std::string& digest) {
  if (cache.digests.size() >= kMaxCachedDigests)
    cache.digests.clear();
  cache.digests[body] = digest;
}

void DigestNextBlock(const std::shared_ptr<DigestComputation>& computation) {
  const std::uint64_t remaining_bytes =
      computation->body.bytes - computation->offset;
  const std::size_t size = std::min(remaining_bytes, kDigestBlockBytes);
  const std::string block =
      GenerateContent(computation->body.seed, computation->offset, size);
  EVP_DigestUpdate(computation->context.get(), block.data(), block.size());
  computation->offset += size;
  if (computation->offset < computation->body.bytes) {
    boost::asio::post(computation->loop,
                      [computation]() { DigestNextBlock(computation); });
    return;
  }
  const std::string digest = FinishDigest(computation->context.get());
  CacheDigest(*computation->cache, computation->body, digest);
  computation->on_done(digest);
}

}  // namespace

std::string MakeDigestHeader(const std::string& text) {
  const DigestContext context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
  EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
  EVP_DigestUpdate(context.get(), text.data(), text.size());
  return FinishDigest(context.get());
}

void ComputeBodyDigest(const boost::asio::any_io_executor& loop,
                       const std::shared_ptr<DigestCache>& cache,
                       const BodyId& body,
                       std::function<void(const std::string&)> on_done) {
  const auto cached = cache->digests.find(body);
  if (cached != cache->digests.end()) {
    on_done(cached->second);
    return;
  }
  auto computation = std::make_shared<DigestComputation>();
  computation->loop = loop;
  computation->cache = cache;
  computation->body = body;
  computation->on_done = std::move(on_done);
  EVP_DigestInit_ex(computation->context.get(), EVP_sha256(), nullptr);
  DigestNextBlock(computation);
}

}  // namespace poplarfork::standin
