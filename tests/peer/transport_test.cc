#include <boost/test/unit_test.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <zmq.hpp>

#include "base/error_func.h"
#include "peer/transport_builder_type.h"
#include "peer/transport_func.h"

namespace poplarfork::peer {

namespace {

// Time after which a test stops waiting and fails. No test checks how long
// something takes.
constexpr std::chrono::seconds kTestTimeout{20};

// A transport with the messages that it has received.
struct TestPeer {
  std::shared_ptr<Transport> transport;
  std::vector<Message> received;
};

// Options in which the transports of the tests differ.
struct TransportOptions {
  ClusterKey cluster_key;
  CurveKeys curve_keys;
  std::size_t max_connections = kMaxConnections;
};

std::unique_ptr<TestPeer> OpenPeer(boost::asio::io_context& loop,
                                   const TransportOptions& options) {
  auto peer = std::make_unique<TestPeer>();
  TestPeer* raw_peer = peer.get();
  base::Result<std::shared_ptr<Transport>> built =
      TransportBuilder(loop)
          .SetAddress("127.0.0.1:0")
          .SetIncarnation(base::Incarnation{7})
          .SetDataCentre(base::DataCentreId{"dc1"})
          .SetClusterKey(options.cluster_key)
          .SetCurveKeys(options.curve_keys)
          .SetMaxConnections(options.max_connections)
          .SetMessageHandler([raw_peer](Message message) {
            raw_peer->received.push_back(std::move(message));
          })
          .Build();
  BOOST_REQUIRE(built.has_value());
  peer->transport = built.value();
  return peer;
}

// Runs the event loop until `is_done` returns true. Returns false after
// `kTestTimeout`.
template <class Predicate>
bool RunUntil(boost::asio::io_context& loop, Predicate is_done) {
  const auto end = std::chrono::steady_clock::now() + kTestTimeout;
  while (!is_done()) {
    if (std::chrono::steady_clock::now() > end)
      return false;
    loop.run_for(std::chrono::milliseconds(5));
    loop.restart();
  }
  return true;
}

void SendProbe(TestPeer& sender,
               const TestPeer& recipient,
               const std::string& payload) {
  const base::Result<void> result =
      Send(*sender.transport, recipient.transport->self, proto::PROBE, payload);
  BOOST_TEST(result.has_value());
}

// An address of the loopback interface at which connections are refused. The
// port stays bound, so that no other process can listen on it.
class ReservedAddress {
 public:
  ReservedAddress()
      : socket(this->loop, {boost::asio::ip::make_address("127.0.0.1"), 0}) {}

  base::DaemonId GetPeer() const {
    return {"127.0.0.1:" +
            std::to_string(this->socket.local_endpoint().port())};
  }

 private:
  boost::asio::io_context loop;
  // Bound, but not listening.
  boost::asio::ip::tcp::socket socket;
};

// Returns options with a new CURVE key pair.
TransportOptions MakeCurveOptions() {
  std::string public_key(40, ' ');
  std::string secret_key(40, ' ');
  public_key.resize(41);
  secret_key.resize(41);
  BOOST_REQUIRE(zmq_curve_keypair(public_key.data(), secret_key.data()) == 0);
  public_key.resize(40);
  secret_key.resize(40);
  TransportOptions options;
  options.curve_keys = {public_key, secret_key, {}};
  return options;
}

}  // namespace

// Guards against a lost wake-up. The descriptors are edge-triggered, so a
// transport that stops receiving before its queue is empty never receives
// again.
BOOST_AUTO_TEST_CASE(BurstsInBothDirectionsArriveInOrder) {
  boost::asio::io_context loop;
  const auto left = OpenPeer(loop, {});
  const auto right = OpenPeer(loop, {});
  for (std::size_t round = 1; round <= 50; ++round) {
    for (int i = 0; i < 10; ++i) {
      SendProbe(*left, *right, std::to_string(left->received.size()));
      SendProbe(*right, *left, std::to_string(right->received.size()));
    }
    BOOST_REQUIRE(RunUntil(loop, [&] {
      return left->received.size() == round * 10 &&
             right->received.size() == round * 10;
    }));
  }
  BOOST_TEST(right->received.back().sender.value ==
             left->transport->self.value);
  BOOST_TEST(right->received.back().incarnation.value == 7U);
  BOOST_TEST(
      right->transport->counters.by_kind[proto::PROBE].received_messages ==
      500U);
}

// Guards against messages that are lost, or that stop the receiver, if more
// messages are queued than one iteration of the event loop handles.
BOOST_AUTO_TEST_CASE(MessagesBeyondOneIterationArrive) {
  boost::asio::io_context loop;
  const auto left = OpenPeer(loop, {});
  const auto right = OpenPeer(loop, {});
  SendProbe(*left, *right, "first");
  BOOST_REQUIRE(RunUntil(loop, [&] { return right->received.size() == 1; }));
  const std::size_t burst_size = kMaxMessagesPerIteration + 60;
  for (std::size_t i = 0; i < burst_size; ++i)
    SendProbe(*left, *right, "x");
  BOOST_REQUIRE(
      RunUntil(loop, [&] { return right->received.size() == 1 + burst_size; }));
}

// Guards against malformed, oversized and unknown messages that stop the
// receiver or cause the loss of valid messages.
BOOST_AUTO_TEST_CASE(InvalidMessagesAreCountedAndNoOthersAreLost) {
  boost::asio::io_context loop;
  const auto left = OpenPeer(loop, {});
  const auto right = OpenPeer(loop, {});
  zmq::context_t context;
  zmq::socket_t raw_socket(context, zmq::socket_type::dealer);
  raw_socket.set(zmq::sockopt::linger, 0);
  raw_socket.connect("tcp://" + right->transport->self.value);
  proto::Envelope unknown_kind_envelope;
  unknown_kind_envelope.set_sender("127.0.0.1:9");
  unknown_kind_envelope.set_kind(static_cast<proto::MessageKind>(999));
  proto::Envelope own_address_envelope;
  own_address_envelope.set_sender(right->transport->self.value);
  own_address_envelope.set_kind(proto::PROBE);
  for (int round = 0; round < 10; ++round) {
    raw_socket.send(zmq::str_buffer("\xff\xff not protobuf"));
    raw_socket.send(zmq::message_t(kMaxMessageBytes + 10),
                    zmq::send_flags::none);
    raw_socket.send(zmq::buffer(unknown_kind_envelope.SerializeAsString()));
    raw_socket.send(zmq::buffer(own_address_envelope.SerializeAsString()));
    raw_socket.send(zmq::message_t(), zmq::send_flags::none);
    for (int part = 0; part < 5; ++part)
      raw_socket.send(zmq::str_buffer("p"), part < 4 ? zmq::send_flags::sndmore
                                                     : zmq::send_flags::none);
    SendProbe(*left, *right, std::to_string(round));
  }
  const Counters& counters = right->transport->counters;
  BOOST_TEST(RunUntil(loop, [&] {
    return right->received.size() == 10 && counters.malformed_messages == 30 &&
           counters.oversized_messages == 10 &&
           counters.unknown_kind_messages == 10 &&
           counters.messages_from_self == 10;
  }));
}

// Guards against a frame above the limit of ZeroMQ that affects the connections
// of other peers.
BOOST_AUTO_TEST_CASE(HugeFrameClosesOnlyItsOwnConnection) {
  boost::asio::io_context loop;
  const auto left = OpenPeer(loop, {});
  const auto right = OpenPeer(loop, {});
  zmq::context_t context;
  zmq::socket_t raw_socket(context, zmq::socket_type::dealer);
  raw_socket.set(zmq::sockopt::linger, 0);
  raw_socket.connect("tcp://" + right->transport->self.value);
  raw_socket.send(zmq::message_t(kMaxFrameBytes * 4), zmq::send_flags::none);
  SendProbe(*left, *right, "after");
  BOOST_TEST(RunUntil(loop, [&] { return right->received.size() == 1; }));
  BOOST_TEST(right->transport->counters.oversized_messages == 0U);
  const base::Result<void> result =
      Send(*left->transport, right->transport->self, proto::SNAPSHOT_CHUNK,
           std::string(kMaxMessageBytes, 'x'));
  BOOST_REQUIRE(result.has_error());
  BOOST_TEST((result.error().code == base::ErrorCode::kTooLarge));
}

// Guards against memory that grows without limit for a peer that accepts
// connections but never reads, and against delays for other peers.
BOOST_AUTO_TEST_CASE(PeerThatNeverReadsUsesBoundedMemory) {
  boost::asio::io_context loop;
  const auto left = OpenPeer(loop, {});
  const auto right = OpenPeer(loop, {});
  zmq::context_t context;
  zmq::socket_t non_reading_socket(context, zmq::socket_type::router);
  non_reading_socket.set(zmq::sockopt::linger, 0);
  non_reading_socket.set(zmq::sockopt::rcvhwm, 1);
  non_reading_socket.bind("tcp://127.0.0.1:0");
  const base::DaemonId peer{
      non_reading_socket.get(zmq::sockopt::last_endpoint).substr(6)};
  int refused = 0;
  std::uint64_t accepted_bytes = 0;
  for (int i = 0; i < 400; ++i) {
    const std::string chunk(i % 2 == 0 ? 900 * 1000 : 10 * 1000, 'x');
    const bool is_sent =
        Send(*left->transport, peer, proto::SNAPSHOT_CHUNK, chunk).has_value();
    refused += is_sent ? 0 : 1;
    accepted_bytes += is_sent ? chunk.size() : 0;
    loop.poll();
  }
  BOOST_TEST(refused > 100);
  BOOST_TEST(accepted_bytes < 32U * 1024 * 1024);
  SendProbe(*left, *right, "others are not delayed");
  BOOST_TEST(RunUntil(loop, [&] { return right->received.size() == 1; }));
}

// Guards against stale messages that reach a peer when it returns. No message
// may wait longer than the handshake timeout. The address is not one of a
// closed transport, because ZeroMQ closes a listening socket in its own thread,
// and connections are still accepted for a moment after CloseTransport().
BOOST_AUTO_TEST_CASE(MessagesForAnAbsentPeerAreDroppedNotQueued) {
  boost::asio::io_context loop;
  const auto left = OpenPeer(loop, {});
  const ReservedAddress reserved_address;
  const base::DaemonId peer = reserved_address.GetPeer();
  int refused = 0;
  for (int i = 0; i < 100; ++i)
    refused +=
        Send(*left->transport, peer, proto::PROBE, "x").has_value() ? 0 : 1;
  BOOST_TEST(refused == 100 - static_cast<int>(kMaxPendingMessages));
  CloseConnection(*left->transport, peer);
  BOOST_TEST(left->transport->counters.by_kind[proto::PROBE].dropped_messages ==
             100U);
}

// Guards against more open sockets than the connection limit, however many
// peers there are.
BOOST_AUTO_TEST_CASE(LeastRecentlyUsedConnectionIsClosed) {
  boost::asio::io_context loop;
  TransportOptions options;
  options.max_connections = 2;
  const auto limited_peer = OpenPeer(loop, options);
  const auto first = OpenPeer(loop, {});
  const auto second = OpenPeer(loop, {});
  const auto third = OpenPeer(loop, {});
  for (TestPeer* peer : {first.get(), second.get(), first.get(), third.get()})
    SendProbe(*limited_peer, *peer, "x");
  BOOST_TEST(limited_peer->transport->connections.size() == 2U);
  BOOST_TEST(limited_peer->transport->connections.count(
                 second->transport->self) == 0U);
  BOOST_TEST(limited_peer->transport->counters.evicted_connections == 1U);
}

// Guards against accepting messages from daemons of another fleet, which have
// another cluster key, and from daemons without a key.
BOOST_AUTO_TEST_CASE(MessagesWithoutTheClusterKeyAreRefused) {
  boost::asio::io_context loop;
  const auto left = OpenPeer(loop, {{"secret"}, {}, kMaxConnections});
  const auto right = OpenPeer(loop, {{"secret"}, {}, kMaxConnections});
  const auto other_fleet_peer =
      OpenPeer(loop, {{"other"}, {}, kMaxConnections});
  const auto peer_without_key = OpenPeer(loop, {});
  SendProbe(*other_fleet_peer, *right, "x");
  SendProbe(*peer_without_key, *right, "x");
  SendProbe(*left, *right, "y");
  SendProbe(*left, *peer_without_key, "y");
  BOOST_TEST(RunUntil(loop, [&] {
    return right->transport->counters.unauthenticated_messages == 2 &&
           right->received.size() == 1 &&
           peer_without_key->transport->counters.unauthenticated_messages == 1;
  }));
}

// Guards against accepting a peer with an unknown public key, and against a
// CURVE configuration that refuses peers with a known key.
BOOST_AUTO_TEST_CASE(UnknownPublicKeysAreRefused) {
  boost::asio::io_context loop;
  const TransportOptions fleet_options = MakeCurveOptions();
  const auto left = OpenPeer(loop, fleet_options);
  const auto right = OpenPeer(loop, fleet_options);
  // This socket knows the public key of the fleet but has its own key pair.
  zmq::context_t context;
  zmq::socket_t unknown_key_socket(context, zmq::socket_type::dealer);
  const TransportOptions other_options = MakeCurveOptions();
  unknown_key_socket.set(zmq::sockopt::linger, 0);
  unknown_key_socket.set(zmq::sockopt::curve_serverkey,
                         fleet_options.curve_keys.public_key);
  unknown_key_socket.set(zmq::sockopt::curve_publickey,
                         other_options.curve_keys.public_key);
  unknown_key_socket.set(zmq::sockopt::curve_secretkey,
                         other_options.curve_keys.secret_key);
  unknown_key_socket.connect("tcp://" + right->transport->self.value);
  unknown_key_socket.send(zmq::str_buffer("x"));
  SendProbe(*left, *right, "y");
  BOOST_TEST(RunUntil(loop, [&] {
    return right->received.size() == 1 &&
           right->transport->counters.refused_public_keys >= 1;
  }));
  BOOST_TEST(right->transport->counters.malformed_messages == 0U);
}

}  // namespace poplarfork::peer
