#include "standin/body_digest_func.h"

#include <algorithm>
#include <array>

#include <openssl/evp.h>
#include <boost/asio/post.hpp>

#include "standin/body_content_func.h"
#include "standin/json_func.h"

namespace poplarfork::standin {

namespace {

constexpr std::uint64_t kPieceBytes = 256 * 1024;
constexpr std::size_t kMaxCachedDigests = 10000;

using Context = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

// State of one digest that is computed block by block.
struct DigestWork {
  boost::asio::any_io_executor loop;
  std::shared_ptr<DigestCache> cache;
  BodyId body;
  std::function<void(const std::string&)> done;
  Context context{EVP_MD_CTX_new(), &EVP_MD_CTX_free};
  std::uint64_t offset = 0;
};

std::string Finish(EVP_MD_CTX* context) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
  unsigned size = 0;
  EVP_DigestFinal_ex(context, bytes.data(), &size);
  return "sha-256=" + EncodeBase64({bytes.begin(), bytes.begin() + size});
}

void Store(DigestCache& cache, const BodyId& body, const std::string& digest) {
  if (cache.digests.size() >= kMaxCachedDigests)
    cache.digests.clear();
  cache.digests[body] = digest;
}

void Advance(const std::shared_ptr<DigestWork>& work) {
  const std::uint64_t left = work->body.bytes - work->offset;
  const std::size_t size = std::min(left, kPieceBytes);
  const std::string piece =
      GenerateContent(work->body.seed, work->offset, size);
  EVP_DigestUpdate(work->context.get(), piece.data(), piece.size());
  work->offset += size;
  if (work->offset < work->body.bytes) {
    boost::asio::post(work->loop, [work]() { Advance(work); });
    return;
  }
  const std::string digest = Finish(work->context.get());
  Store(*work->cache, work->body, digest);
  work->done(digest);
}

}  // namespace

std::string TextDigest(const std::string& text) {
  const Context context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
  EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
  EVP_DigestUpdate(context.get(), text.data(), text.size());
  return Finish(context.get());
}

void ComputeDigest(const boost::asio::any_io_executor& loop,
                   const std::shared_ptr<DigestCache>& cache,
                   const BodyId& body,
                   std::function<void(const std::string&)> done) {
  const auto known = cache->digests.find(body);
  if (known != cache->digests.end()) {
    done(known->second);
    return;
  }
  auto work = std::make_shared<DigestWork>();
  work->loop = loop;
  work->cache = cache;
  work->body = body;
  work->done = std::move(done);
  EVP_DigestInit_ex(work->context.get(), EVP_sha256(), nullptr);
  Advance(work);
}

}  // namespace poplarfork::standin
