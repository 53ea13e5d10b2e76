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
constexpr std::size_t kZapRequestId = 1;
constexpr std::size_t kZapMechanism = 5;
constexpr std::size_t kZapCredentials = 6;

using ZapRequest = std::vector<std::string>;

// Receives one ZAP request. Returns false if the socket holds none.
bool ReceiveRequest(zmq::socket_t& socket, ZapRequest& request) {
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
bool IsAccepted(const CurveKeys& keys, const ZapRequest& request) {
  if (request.size() <= kZapCredentials || request[kZapMechanism] != "CURVE")
    return false;
  const std::string& credentials = request[kZapCredentials];
  if (credentials.size() != kBinaryKeyBytes)
    return false;
  const std::string key = EncodeZ85(credentials);
  const std::vector<std::string>& accepted = keys.accepted_public_keys;
  return key == keys.public_key ||
         std::find(accepted.begin(), accepted.end(), key) != accepted.end();
}

void SendAnswer(zmq::socket_t& socket,
                const std::string& request_id,
                bool is_accepted) {
  const std::array<std::string, 6> answer = {
      "1.0",
      request_id,
      is_accepted ? "200" : "400",
      is_accepted ? "OK" : "unknown public key",
      "",
      ""};
  for (std::size_t i = 0; i < answer.size(); ++i) {
    const auto flags = i + 1 < answer.size() ? zmq::send_flags::dontwait |
                                                   zmq::send_flags::sndmore
                                             : zmq::send_flags::dontwait;
    (void)socket.send(zmq::buffer(answer[i]), flags);
  }
}

}  // namespace

void StartAuthenticator(Transport& transport) {
  transport.authenticator = std::make_unique<WatchedSocket>(
      transport.context, zmq::socket_type::rep, transport.io);
  transport.authenticator->socket.set(zmq::sockopt::linger, 0);
  transport.authenticator->socket.bind(kZapEndpoint);
  Watch(transport, *transport.authenticator, AnswerAuthentication);
}

void AnswerAuthentication(Transport& transport) {
  zmq::socket_t& socket = transport.authenticator->socket;
  ZapRequest request;
  while (ReceiveRequest(socket, request)) {
    const bool is_accepted = IsAccepted(transport.curve_keys, request);
    if (!is_accepted)
      ++transport.counters.refused_public_keys;
    if (request.size() > kZapRequestId)
      SendAnswer(socket, request[kZapRequestId], is_accepted);
  }
}

}  // namespace poplarfork::peer
