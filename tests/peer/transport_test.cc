#include <boost/test/unit_test.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <zmq.hpp>

#include "base/error_func.h"
#include "peer/transport_builder_type.h"
#include "peer/transport_func.h"

namespace poplarfork::peer {

namespace {

// Time after which a test stops waiting and fails. No test checks how long
// something takes.
constexpr std::chrono::seconds kGiveUp{20};

// A transport with the messages that it has received.
struct Endpoint {
  std::shared_ptr<Transport> transport;
  std::vector<Message> received;
};

// Options in which the transports of the tests differ.
struct Settings {
  ClusterKey key;
  CurveKeys curve;
  std::size_t max_connections = kMaxConnections;
};

std::unique_ptr<Endpoint> Open(boost::asio::io_context& io,
                               const Settings& settings) {
  auto endpoint = std::make_unique<Endpoint>();
  Endpoint* raw = endpoint.get();
  base::Result<std::shared_ptr<Transport>> built =
      TransportBuilder(io)
          .Address("127.0.0.1:0")
          .Incarnation(base::Incarnation{7})
          .DataCentre(base::DataCentreId{"dc1"})
          .Key(settings.key)
          .Curve(settings.curve)
          .MaxConnections(settings.max_connections)
          .OnMessage([raw](Message message) {
            raw->received.push_back(std::move(message));
          })
          .Build();
  BOOST_REQUIRE(built.has_value());
  endpoint->transport = built.value();
  return endpoint;
}

// Runs the event loop until `is_done` returns true. Returns false after
// `kTestTimeout`.
template <class Predicate>
bool RunUntil(boost::asio::io_context& io, Predicate is_done) {
  const auto end = std::chrono::steady_clock::now() + kGiveUp;
  while (!is_done()) {
    if (std::chrono::steady_clock::now() > end)
      return false;
    io.run_for(std::chrono::milliseconds(5));
    io.restart();
  }
  return true;
}

void SendProbe(Endpoint& from, const Endpoint& to, const std::string& payload) {
  const base::Result<void> result =
      Send(*from.transport, to.transport->self, proto::PROBE, payload);
  BOOST_TEST(result.has_value());
}

// Returns options with a new CURVE key pair.
Settings CurveSettings() {
  std::string public_key(40, ' ');
  std::string secret_key(40, ' ');
  public_key.resize(41);
  secret_key.resize(41);
  BOOST_REQUIRE(zmq_curve_keypair(public_key.data(), secret_key.data()) == 0);
  public_key.resize(40);
  secret_key.resize(40);
  Settings settings;
  settings.curve = {public_key, secret_key, {}};
  return settings;
}

}  // namespace

// Guards against a lost wake-up. The descriptors are edge-triggered, so a
// transport that stops receiving before its queue is empty never receives
// again.
BOOST_AUTO_TEST_CASE(BurstsInBothDirectionsArriveInOrder) {
  boost::asio::io_context io;
  const auto left = Open(io, {});
  const auto right = Open(io, {});
  for (std::size_t round = 1; round <= 50; ++round) {
    for (int i = 0; i < 10; ++i) {
      SendProbe(*left, *right, std::to_string(left->received.size()));
      SendProbe(*right, *left, std::to_string(right->received.size()));
    }
    BOOST_REQUIRE(RunUntil(io, [&] {
      return left->received.size() == round * 10 &&
             right->received.size() == round * 10;
    }));
  }
  BOOST_TEST(right->received.back().sender.value ==
             left->transport->self.value);
  BOOST_TEST(right->received.back().incarnation.value == 7U);
  BOOST_TEST(right->transport->counters.kinds[proto::PROBE].received_messages ==
             500U);
}

// Guards against messages that are lost, or that stop the receiver, if more
// messages are queued than one iteration of the event loop handles.
BOOST_AUTO_TEST_CASE(MessagesBeyondOneIterationArrive) {
  boost::asio::io_context io;
  const auto left = Open(io, {});
  const auto right = Open(io, {});
  SendProbe(*left, *right, "first");
  BOOST_REQUIRE(RunUntil(io, [&] { return right->received.size() == 1; }));
  const std::size_t burst = kMaxMessagesPerTurn + 60;
  for (std::size_t i = 0; i < burst; ++i)
    SendProbe(*left, *right, "x");
  BOOST_REQUIRE(
      RunUntil(io, [&] { return right->received.size() == 1 + burst; }));
}

// Guards against malformed, oversized and unknown messages that stop the
// receiver or cause the loss of valid messages.
BOOST_AUTO_TEST_CASE(InvalidMessagesAreCountedAndNoOthersAreLost) {
  boost::asio::io_context io;
  const auto left = Open(io, {});
  const auto right = Open(io, {});
  zmq::context_t context;
  zmq::socket_t raw(context, zmq::socket_type::dealer);
  raw.set(zmq::sockopt::linger, 0);
  raw.connect("tcp://" + right->transport->self.value);
  proto::Envelope unknown;
  unknown.set_sender("127.0.0.1:9");
  unknown.set_kind(static_cast<proto::MessageKind>(999));
  proto::Envelope own;
  own.set_sender(right->transport->self.value);
  own.set_kind(proto::PROBE);
  for (int round = 0; round < 10; ++round) {
    raw.send(zmq::str_buffer("\xff\xff not protobuf"));
    raw.send(zmq::message_t(kMaxMessageBytes + 10), zmq::send_flags::none);
    raw.send(zmq::buffer(unknown.SerializeAsString()));
    raw.send(zmq::buffer(own.SerializeAsString()));
    raw.send(zmq::message_t(), zmq::send_flags::none);
    for (int part = 0; part < 5; ++part)
      raw.send(zmq::str_buffer("p"),
               part < 4 ? zmq::send_flags::sndmore : zmq::send_flags::none);
    SendProbe(*left, *right, std::to_string(round));
  }
  const Counters& counters = right->transport->counters;
  BOOST_TEST(RunUntil(io, [&] {
    return right->received.size() == 10 && counters.malformed == 30 &&
           counters.oversized == 10 && counters.unknown_kind == 10 &&
           counters.from_self == 10;
  }));
}

// Guards against a frame above the limit of ZeroMQ that affects the connections
// of other peers.
BOOST_AUTO_TEST_CASE(HugeFrameClosesOnlyItsOwnConnection) {
  boost::asio::io_context io;
  const auto left = Open(io, {});
  const auto right = Open(io, {});
  zmq::context_t context;
  zmq::socket_t raw(context, zmq::socket_type::dealer);
  raw.set(zmq::sockopt::linger, 0);
  raw.connect("tcp://" + right->transport->self.value);
  raw.send(zmq::message_t(kMaxFrameBytes * 4), zmq::send_flags::none);
  SendProbe(*left, *right, "after");
  BOOST_TEST(RunUntil(io, [&] { return right->received.size() == 1; }));
  BOOST_TEST(right->transport->counters.oversized == 0U);
  const base::Result<void> result =
      Send(*left->transport, right->transport->self, proto::SNAPSHOT_CHUNK,
           std::string(kMaxMessageBytes, 'x'));
  BOOST_REQUIRE(result.has_error());
  BOOST_TEST((result.error().code == base::ErrorCode::kTooLarge));
}

// Guards against memory that grows without limit for a peer that accepts
// connections but never reads, and against delays for other peers.
BOOST_AUTO_TEST_CASE(PeerThatNeverReadsUsesBoundedMemory) {
  boost::asio::io_context io;
  const auto left = Open(io, {});
  const auto right = Open(io, {});
  zmq::context_t context;
  zmq::socket_t silent(context, zmq::socket_type::router);
  silent.set(zmq::sockopt::linger, 0);
  silent.set(zmq::sockopt::rcvhwm, 1);
  silent.bind("tcp://127.0.0.1:0");
  const base::DaemonId peer{silent.get(zmq::sockopt::last_endpoint).substr(6)};
  int refused = 0;
  std::uint64_t accepted_bytes = 0;
  for (int i = 0; i < 400; ++i) {
    const std::string chunk(i % 2 == 0 ? 900 * 1000 : 10 * 1000, 'x');
    const bool is_sent =
        Send(*left->transport, peer, proto::SNAPSHOT_CHUNK, chunk).has_value();
    refused += is_sent ? 0 : 1;
    accepted_bytes += is_sent ? chunk.size() : 0;
    io.poll();
  }
  BOOST_TEST(refused > 100);
  BOOST_TEST(accepted_bytes < 32U * 1024 * 1024);
  SendProbe(*left, *right, "others are not delayed");
  BOOST_TEST(RunUntil(io, [&] { return right->received.size() == 1; }));
}

// Guards against stale messages that reach a peer when it returns. No message
// may wait longer than the handshake timeout.
BOOST_AUTO_TEST_CASE(MessagesForAnAbsentPeerAreDroppedNotQueued) {
  boost::asio::io_context io;
  const auto left = Open(io, {});
  const auto gone = Open(io, {});
  const base::DaemonId peer = gone->transport->self;
  CloseTransport(*gone->transport);
  int refused = 0;
  for (int i = 0; i < 100; ++i)
    refused +=
        Send(*left->transport, peer, proto::PROBE, "x").has_value() ? 0 : 1;
  BOOST_TEST(refused == 100 - static_cast<int>(kMaxPendingMessages));
  CloseConnection(*left->transport, peer);
  BOOST_TEST(left->transport->counters.kinds[proto::PROBE].dropped_messages ==
             100U);
}

// Guards against more open sockets than the connection limit, however many
// peers there are.
BOOST_AUTO_TEST_CASE(LeastRecentlyUsedConnectionIsClosed) {
  boost::asio::io_context io;
  Settings settings;
  settings.max_connections = 2;
  const auto hub = Open(io, settings);
  const auto first = Open(io, {});
  const auto second = Open(io, {});
  const auto third = Open(io, {});
  for (Endpoint* peer : {first.get(), second.get(), first.get(), third.get()})
    SendProbe(*hub, *peer, "x");
  BOOST_TEST(hub->transport->connections.size() == 2U);
  BOOST_TEST(hub->transport->connections.count(second->transport->self) == 0U);
  BOOST_TEST(hub->transport->counters.connections_evicted == 1U);
}

// Guards against accepting messages from daemons of another fleet, which have
// another cluster key, and from daemons without a key.
BOOST_AUTO_TEST_CASE(MessagesWithoutTheClusterKeyAreRefused) {
  boost::asio::io_context io;
  const auto left = Open(io, {{"secret"}, {}, kMaxConnections});
  const auto right = Open(io, {{"secret"}, {}, kMaxConnections});
  const auto stranger = Open(io, {{"other"}, {}, kMaxConnections});
  const auto keyless = Open(io, {});
  SendProbe(*stranger, *right, "x");
  SendProbe(*keyless, *right, "x");
  SendProbe(*left, *right, "y");
  SendProbe(*left, *keyless, "y");
  BOOST_TEST(RunUntil(io, [&] {
    return right->transport->counters.unauthenticated == 2 &&
           right->received.size() == 1 &&
           keyless->transport->counters.unauthenticated == 1;
  }));
}

// Guards against accepting a peer with an unknown public key, and against a
// CURVE configuration that refuses peers with a known key.
BOOST_AUTO_TEST_CASE(UnknownPublicKeysAreRefused) {
  boost::asio::io_context io;
  const Settings fleet = CurveSettings();
  const auto left = Open(io, fleet);
  const auto right = Open(io, fleet);
  // This socket knows the public key of the fleet but has its own key pair.
  zmq::context_t context;
  zmq::socket_t stranger(context, zmq::socket_type::dealer);
  const Settings other = CurveSettings();
  stranger.set(zmq::sockopt::linger, 0);
  stranger.set(zmq::sockopt::curve_serverkey, fleet.curve.public_key);
  stranger.set(zmq::sockopt::curve_publickey, other.curve.public_key);
  stranger.set(zmq::sockopt::curve_secretkey, other.curve.secret_key);
  stranger.connect("tcp://" + right->transport->self.value);
  stranger.send(zmq::str_buffer("x"));
  SendProbe(*left, *right, "y");
  BOOST_TEST(RunUntil(io, [&] {
    return right->received.size() == 1 &&
           right->transport->counters.refused_public_keys >= 1;
  }));
  BOOST_TEST(right->transport->counters.malformed == 0U);
}

}  // namespace poplarfork::peer
