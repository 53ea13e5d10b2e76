#include "cli/admin_client_func.h"

#include <string>
#include <thread>
#include <utility>

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

namespace poplarfork::cli {

namespace {

using boost::asio::ip::tcp;

// Accepts one connection, reads until `delimiter`, writes `response` and
// closes.
struct OneShotServer {
  boost::asio::io_context context;
  tcp::acceptor acceptor{
      context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};

  std::string Address() const {
    return "127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
  }

  std::string Serve(const std::string& delimiter, const std::string& response) {
    tcp::socket socket(this->context);
    this->acceptor.accept(socket);
    std::string received;
    boost::system::error_code error;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(received),
                            delimiter, error);
    boost::asio::write(socket, boost::asio::buffer(response), error);
    return received;
  }
};

AdminRequest MakePublishRequest(const std::string& address) {
  AdminRequest request;
  request.daemon_address = address;
  request.path = "/admin/v1/notes";
  request.body = "add: {}\n#end";
  request.note_id = "n1";
  request.is_post = true;
  return request;
}

}  // namespace

// Guards against a note that is sent without its id or body.
BOOST_AUTO_TEST_CASE(SendsBodyAndNoteId) {
  OneShotServer server;
  std::string received;
  std::thread thread([&] {
    received = server.Serve("#end",
                            "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n"
                            "Connection: close\r\n\r\n{}");
  });
  const AdminResponse response =
      SendAdminRequest(MakePublishRequest(server.Address()));
  thread.join();
  BOOST_TEST((response.status == AdminStatus::kResponded));
  BOOST_TEST(response.http_status == 409);
  BOOST_TEST(response.body == "{}");
  BOOST_TEST(received.find("POST /admin/v1/notes") == 0U);
  BOOST_TEST(received.find("Poplarfork-Note-Id:n1") != std::string::npos);
}

// Guards against reporting a note as not sent if only its response was lost.
BOOST_AUTO_TEST_CASE(LostResponseIsNotTakenForAFailedConnect) {
  OneShotServer server;
  std::thread thread([&] { server.Serve("#end", ""); });
  const AdminResponse response =
      SendAdminRequest(MakePublishRequest(server.Address()));
  thread.join();
  BOOST_TEST((response.status == AdminStatus::kNoResponse),
             response.error_detail);
}

// Guards against reporting the outcome as unknown for a note that was never
// sent.
BOOST_AUTO_TEST_CASE(ClosedPortIsNotReachable) {
  std::string address;
  {
    const OneShotServer server;
    address = server.Address();
  }
  const AdminResponse closed = SendAdminRequest(MakePublishRequest(address));
  BOOST_TEST((closed.status == AdminStatus::kNotReachable),
             closed.error_detail);
  const AdminResponse malformed =
      SendAdminRequest(MakePublishRequest("not an address"));
  BOOST_TEST((malformed.status == AdminStatus::kNotReachable),
             malformed.error_detail);
}

}  // namespace poplarfork::cli
