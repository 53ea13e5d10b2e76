#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "base/error_func.h"
#include "standin/http_server_func.h"
#include "store/http_call_func.h"
#include "tests/store/store_fixture.h"

namespace poplarfork::store {

namespace {

// A server that responds to the first request of each connection, and closes
// the connection without a response when a second request arrives on it. It
// counts how often each request body arrived.
struct CountingServer {
  CountingServer() {
    const auto counts_by_body = this->request_counts;
    const auto counts_by_connection =
        std::make_shared<std::map<std::uint64_t, int>>();
    this->server = RunOnLoop([counts_by_body, counts_by_connection] {
      standin::HttpServerOptions options;
      options.endpoint = {boost::asio::ip::address_v4::loopback(), 0};
      return standin::StartHttpServer(
          standin::TestLoop().get_executor(), options,
          [counts_by_body,
           counts_by_connection](const standin::HttpConnectionPtr& connection) {
            (*counts_by_body)[connection->body] += 1;
            if (++(*counts_by_connection)[connection->id] == 1)
              standin::SendResponse(connection, standin::Response{});
            else
              standin::CloseConnection(connection);
          });
    });
  }

  CountingServer(const CountingServer&) = delete;
  CountingServer& operator=(const CountingServer&) = delete;

  ~CountingServer() {
    RunOnLoop([this] { standin::StopHttpServer(*this->server); });
  }

  int RequestCount(const std::string& body) const {
    return RunOnLoop([this, body] { return (*this->request_counts)[body]; });
  }

  std::shared_ptr<std::map<std::string, int>> request_counts =
      std::make_shared<std::map<std::string, int>>();
  standin::HttpServerPtr server;
};

web::http::status_code Post(const web::http::client::http_client& http,
                            const std::string& body) {
  return AwaitCallback<web::http::status_code>([&http, body](auto done) {
    web::http::http_request request(web::http::methods::POST);
    request.set_body(std::vector<unsigned char>(body.begin(), body.end()));
    web::http::client::http_client(http).request(request).then(
        [done](const pplx::task<web::http::http_response>& task) {
          done(task.get().status_code());
        });
  });
}

}  // namespace

// Documents why the request path does not use cpprestsdk's client: if a pooled
// connection is closed before the status line, the client sends a POST request
// twice and reports one success. A request that places an order would then run
// twice.
BOOST_FIXTURE_TEST_CASE(PooledClientSendsPostTwice, CountingServer) {
  const web::http::client::http_client http(
      "http://" + standin::ListeningAddress(*this->server));
  BOOST_TEST(Post(http, "first") == 200);
  BOOST_TEST(Post(http, "order") == 200);
  BOOST_TEST(this->RequestCount("first") == 1);
  BOOST_TEST(this->RequestCount("order") == 2);
}

// Guards against the store client's writes being sent twice in the same way.
BOOST_FIXTURE_TEST_CASE(StoreClientSendsEachWriteOnce, CountingServer) {
  ClientOptions options;
  options.address = standin::ListeningAddress(*this->server);
  const ClientPtr client = RunOnLoop([options] { return MakeClient(options); });
  for (const char* name : {"a", "b", "c"}) {
    AwaitCallback<bool>([&](auto done) {
      PostCall(client, CallKind::kWrite, "/", web::json::value::string(name),
               [done](const CallResult&) { done(true); });
    });
    BOOST_TEST(this->RequestCount("\"" + std::string(name) + "\"") == 1);
  }
}

}  // namespace poplarfork::store
