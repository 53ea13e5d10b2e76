#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tuple>

#include <boost/asio/any_io_executor.hpp>

namespace poplarfork::standin {

// Identifies a generated body: its content follows from the seed and its
// length.
struct BodyId {
  std::uint64_t seed = 0;
  std::uint64_t bytes = 0;

  friend bool operator<(const BodyId& left, const BodyId& right) {
    return std::tie(left.seed, left.bytes) < std::tie(right.seed, right.bytes);
  }
};

// Caches the Digest headers of generated bodies, because computing one reads
// the whole body.
struct DigestCache {
  std::map<BodyId, std::string> digests;
};

// Returns the value of a Digest header for `text`: "sha-256=" followed by the
// SHA-256 hash in base64.
std::string MakeDigestHeader(const std::string& text);

// Computes the value of the Digest header of a generated body and passes it to
// `on_done`; a cached value is passed before the function returns. The body is
// hashed in blocks of 256 KB with other work of the loop between them, so that
// other requests are not delayed.
void ComputeBodyDigest(const boost::asio::any_io_executor& loop,
                       const std::shared_ptr<DigestCache>& cache,
                       const BodyId& body,
                       std::function<void(const std::string&)> on_done);

}  // namespace poplarfork::standin
