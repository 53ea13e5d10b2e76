#include "request/fingerprint_func.h"

#include <string>

#include "base/hash_func.h"

namespace poplarfork::request {

namespace {

dispatch::Fingerprint HashParts(std::string_view caller,
                                std::string_view method,
                                std::string_view target,
                                std::uint64_t body_hash) {
  std::string text;
  for (const std::string_view part : {caller, method, target})
    text.append(part).append(1, '\n');
  text.append(std::to_string(body_hash));
  return {base::StableHash(text)};
}

}  // namespace

dispatch::RequestFingerprints ComputeFingerprints(std::string_view caller,
                                                  std::string_view method,
                                                  std::string_view target,
                                                  std::string_view body) {
  const std::uint64_t body_hash = base::StableHash(body);
  dispatch::RequestFingerprints fingerprints;
  fingerprints.call = HashParts(caller, method, target, body_hash);
  fingerprints.content = HashParts("", method, target, body_hash);
  const std::size_t query_at = target.find('?');
  fingerprints.family =
      query_at == target.npos
          ? fingerprints.content
          : HashParts("", method, target.substr(0, query_at), body_hash);
  return fingerprints;
}

}  // namespace poplarfork::request
