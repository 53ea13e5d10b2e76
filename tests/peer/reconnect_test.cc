#include <boost/test/unit_test.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "peer/transport_builder_type.h"
#include "peer/transport_func.h"

namespace poplarfork::peer {

namespace {

using Tcp = boost::asio::ip::tcp;
using boost::system::error_code;

// Time after which a test stops waiting and fails. No test checks how long
// something takes.
constexpr std::chrono::seconds kGiveUp{30};

// Copies bytes from one socket to another. Once `is_silent` is set, it reads
// and discards them.
struct Pipe : std::enable_shared_from_this<Pipe> {
  Pipe(std::shared_ptr<Tcp::socket> source, std::shared_ptr<Tcp::socket> sink)
      : from(std::move(source)), to(std::move(sink)) {}

  std::shared_ptr<Tcp::socket> from;
  std::shared_ptr<Tcp::socket> to;
  bool is_silent = false;
  std::array<char, 4096> buffer = {};
};

void Copy(const std::shared_ptr<Pipe>& pipe) {
  pipe->from->async_read_some(
      boost::asio::buffer(pipe->buffer),
      [pipe](const error_code& error, std::size_t size) {
        error_code failed;
        if (error) {
          pipe->to->close(failed);
          return;
        }
        if (!pipe->is_silent)
          boost::asio::write(*pipe->to,
                             boost::asio::buffer(pipe->buffer.data(), size),
                             failed);
        Copy(pipe);
      });
}

// Simulates a network device that loses its connection state: existing
// connections go silent, new connections work.
struct Device {
  Device(boost::asio::io_context& loop, const base::DaemonId& peer)
      : io(loop),
        acceptor(loop,
                 Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        target(boost::asio::ip::address_v4::loopback(),
               static_cast<std::uint16_t>(
                   std::stoi(peer.value.substr(peer.value.rfind(':') + 1)))) {}

  boost::asio::io_context& io;
  Tcp::acceptor acceptor;
  Tcp::endpoint target;
  std::vector<std::shared_ptr<Pipe>> pipes;
};

// Forwards each connection to the device to the target in both directions.
void Accept(Device& device) {
  auto near = std::make_shared<Tcp::socket>(device.io);
  device.acceptor.async_accept(*near, [&device, near](const error_code& error) {
    if (error)
      return;
    auto far = std::make_shared<Tcp::socket>(device.io);
    far->connect(device.target);
    for (const auto& pipe : {std::make_shared<Pipe>(near, far),
                             std::make_shared<Pipe>(far, near)}) {
      device.pipes.push_back(pipe);
      Copy(pipe);
    }
    Accept(device);
  });
}

std::shared_ptr<Transport> Open(boost::asio::io_context& io,
                                const std::string& address,
                                int& received) {
  auto built = TransportBuilder(io)
                   .Address(address)
                   .OnMessage([&received](const Message&) { ++received; })
                   .Build();
  BOOST_REQUIRE(built.has_value());
  return built.value();
}

// Sends a message every 50 ms until `count` more messages have arrived. Returns
// false after `kTestTimeout`.
bool SendUntilReceived(boost::asio::io_context& io,
                       Transport& from,
                       const base::DaemonId& to,
                       const int& received,
                       int count) {
  const int wanted = received + count;
  const auto end = std::chrono::steady_clock::now() + kGiveUp;
  while (received < wanted && std::chrono::steady_clock::now() < end) {
    (void)Send(from, to, proto::PROBE, "x");
    io.run_for(std::chrono::milliseconds(50));
    io.restart();
  }
  return received >= wanted;
}

}  // namespace

// Guards against a connection that stays silent for ever after a network device
// between the daemons has lost its connection state. The heartbeat must close
// it, so that a new connection is opened.
BOOST_AUTO_TEST_CASE(SilentConnectionIsReplaced) {
  boost::asio::io_context io;
  int received = 0;
  int ignored = 0;
  const auto left = Open(io, "127.0.0.1:0", ignored);
  const auto right = Open(io, "127.0.0.1:0", received);
  Device device(io, right->self);
  Accept(device);
  const base::DaemonId through{
      "127.0.0.1:" + std::to_string(device.acceptor.local_endpoint().port())};
  BOOST_REQUIRE(SendUntilReceived(io, *left, through, received, 5));
  for (const std::shared_ptr<Pipe>& pipe : device.pipes)
    pipe->is_silent = true;
  const std::size_t pipes = device.pipes.size();
  BOOST_TEST(SendUntilReceived(io, *left, through, received, 5));
  BOOST_TEST(device.pipes.size() > pipes);
  CloseTransport(*left);
  CloseTransport(*right);
}

// Guards against a peer that is not reached again after it restarted at the
// same address, and against messages to the old process that arrive late at the
// new one.
BOOST_AUTO_TEST_CASE(RestartedPeerIsReachedAgain) {
  boost::asio::io_context io;
  int received = 0;
  int ignored = 0;
  const auto left = Open(io, "127.0.0.1:0", ignored);
  auto right = Open(io, "127.0.0.1:0", received);
  const base::DaemonId peer = right->self;
  BOOST_REQUIRE(SendUntilReceived(io, *left, peer, received, 5));
  CloseTransport(*right);
  right.reset();
  for (int i = 0; i < 300; ++i) {
    (void)Send(*left, peer, proto::PROBE, "to the old run");
    io.poll();
  }
  received = 0;
  right = Open(io, peer.value, received);
  BOOST_TEST(SendUntilReceived(io, *left, peer, received, 1));
  BOOST_TEST(received <= static_cast<int>(kMaxPendingMessages) + 2);
}

}  // namespace poplarfork::peer
