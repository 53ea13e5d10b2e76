#pragma once

#include <string>
#include <vector>

namespace poplarfork::peer {

// The secret that all daemons of the fleet share. If it is empty, messages
// carry no tag and messages from every sender are accepted.
struct ClusterKey {
  std::string value;
};

// The ZeroMQ CURVE key pair of the fleet; each key is in Z85 (40 characters).
// All daemons share one pair, because a joining daemon knows the addresses of
// the others but not individual keys. Empty keys disable CURVE.
struct CurveKeys {
  std::string public_key;
  std::string secret_key;
  // Further public keys that may connect, needed while the key pair is being
  // replaced.
  std::vector<std::string> accepted_public_keys;
};

}  // namespace poplarfork::peer
