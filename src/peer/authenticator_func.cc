#include "peer/authenticator_func.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "peer/watch_func.h"

namespace poplarfork::peer {

namespace {

constexpr const char* kZapEndpoint = "inproc://zeromq.zap.01";
constexpr std::size_t kBinaryKeyBytes = 32;
constexpr std::size_t kZ85KeyCharacters = 40;

// Indices of the parts of a ZAP request that are used here.
constexpr std::size_t kZapRequestIdIndex = 1;
constexpr std::size_t kZapMechanismIndex = 5;
constexpr std::size_t kZapCredentialsIndex = 6;

using ZapRequest = std::vector<std::string>;

// Receives one ZAP request. Returns false if the socket holds none.
bool ReceiveZapRequest(zmq::socket_t& socket, ZapRequest& request) {
  request.clear();
  bool has_more = true;
  while (has_more) {
    zmq::message_t part;
    if (!socket.recv(part, zmq::recv_flags::dontwait))
      return false;
    has_more = part.more();
    request.push_back(part.to_string());
  }
  return true;
}

std::string EncodeZ85(const std::string& binary) {
  std::array<char, kZ85KeyCharacters + 1> text = {};
  zmq_z85_encode(text.data(),
                 reinterpret_cast<const std::uint8_t*>(binary.data()),
                 binary.size());
  return text.data();
}

// Returns whether the public key of the request is the key of the fleet or one
// of the further accepted keys.
bool IsPublicKeyAccepted(const CurveKeys& keys, const ZapRequest& request) {
  if (request.size() <= kZapCredentialsIndex ||
      request[kZapMechanismIndex] != "CURVE")
    return false;
  const std::string& credentials = request[kZapCredentialsIndex];
  if (credentials.size() != kBinaryKeyBytes)
    return false;
  const std::string key = EncodeZ85(credentials);
  const std::vector<std::string>& accepted = keys.accepted_public_keys;
  return key == keys.public_key ||
         std::find(accepted.begin(), accepted.end(), key) != accepted.end();
}

void SendZapReply(zmq::socket_t& socket,
                  const std::string& request_id,
                  bool is_accepted) {
  const std::array<std::string, 6> reply = {
      "1.0",
      request_id,
      is_accepted ? "200" : "400",
      is_accepted ? "OK" : "unknown public key",
      "",
      ""};
  for (std::size_t i = 0; i < reply.size(); ++i) {
    const auto flags = i + 1 < reply.size() ? zmq::send_flags::dontwait |
                                                  zmq::send_flags::sndmore
                                            : zmq::send_flags::dontwait;
    (void)socket.send(zmq::buffer(reply[i]), flags);
  }
}

}  // namespace

void StartAuthenticator(Transport& transport) {
  transport.authenticator = std::make_unique<WatchedSocket>(
      transport.context, zmq::socket_type::rep, transport.loop);
  transport.authenticator->socket.set(zmq::sockopt::linger, 0);
  transport.authenticator->socket.bind(kZapEndpoint);
  WatchSocket(transport, *transport.authenticator,
              HandleAuthenticationRequests);
}

void HandleAuthenticationRequests(Transport& transport) {
  zmq::socket_t& socket = transport.authenticator->socket;
  ZapRequest request;
  while (ReceiveZapRequest(socket, request)) {
    const bool is_accepted = IsPublicKeyAccepted(transport.curve_keys, request);
    if (!is_accepted)
      ++transport.counters.refused_public_keys;
    if (request.size() > kZapRequestIdIndex)
      SendZapReply(socket, request[kZapRequestIdIndex], is_accepted);
  }
}

}  // namespace poplarfork::peer
