#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "tests/support/scripted_upstream.h"
#include "upstream/whole_call.h"

namespace poplarfork::upstream {

namespace {

using support::ScriptedConnection;
using support::ScriptedUpstream;

// Fields and body of a response whose status line is under test.
const std::string kRest = "\r\nContent-Length: 5\r\n\r\nhello";

struct StatusLineCase {
  std::string bytes;
  bool is_valid = false;
  // The connection ends before the parser can tell that the bytes are invalid.
  bool is_truncated = false;
};

std::vector<StatusLineCase> MakeCases() {
  std::vector<StatusLineCase> cases;
  for (const char* line :
       {"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 200 ",
        "HTTP/1.1 299 Odd", "HTTP/1.1 404 Not Found", "HTTP/1.1 500 Error",
        "HTTP/1.1 599 Odd", "HTTP/1.1 421 A reason with 999"})
    cases.push_back({line + kRest, true});
  for (const char* line : {"HTTP/1.1 000 None",
                           "HTTP/1.1 001 Low",
                           "HTTP/1.1 020 Low",
                           "HTTP/1.1 099 Low",
                           "HTTP/1.1 600 High",
                           "HTTP/1.1 700 High",
                           "HTTP/1.1 999 High",
                           "HTTP/1.1 2000 Four digits",
                           "HTTP/1.1 0200 Four digits",
                           "HTTP/1.1 20 Two digits",
                           "HTTP/1.1 2 One",
                           "HTTP/1.1 abc Letters",
                           "HTTP/1.1 2x0 Letter",
                           "HTTP/1.1 OK",
                           "HTTP/1.1 +20 Sign",
                           "HTTP/1.1 -20 Sign",
                           "HTTP/1.1 +200 Sign",
                           "HTTP/1.1 -200 Sign",
                           "HTTP/1.1  200 Blanks",
                           "HTTP/1.1   0 Blanks",
                           "HTTP/1.1 20  Blank",
                           "HTTP/1.1 2 0 Blank",
                           "HTTP/1.1\t200 Tab",
                           "HTTP/1.1 ",
                           "HTTP/1.1",
                           "HTTP/1.1 200\x01",
                           "HTTP/0.9 200 OK",
                           "HTTP/2.0 200 OK",
                           "HTTP/2 200 OK",
                           "HTTP/9.9 200 OK",
                           "HTTP/1 200 OK",
                           "HTTP/1.1.1 200 OK",
                           "HTTP/11 200 OK",
                           "http/1.1 200 OK",
                           "HTTPS/1.1 200 OK",
                           " HTTP/1.1 200 OK",
                           "\r\nHTTP/1.1 200 OK",
                           "200 OK",
                           "SIP/2.0 200 OK",
                           "",
                           "HTTP/1.1 101 Switching Protocols"})
    cases.push_back({line + kRest, false});
  // HTTP/0.9 has no status line and no fields.
  cases.push_back({"<html>hello</html>\r\n", false});
  cases.push_back({"hello", false, true});
  // A 101 response that is followed by a valid one, and one that is not.
  const std::string switching =
      "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\n"
      "Upgrade: other\r\n\r\n";
  cases.push_back({switching + "HTTP/1.1 200 OK" + kRest, false});
  cases.push_back({switching + "other protocol", false});
  // Informational responses before the final one.
  const std::string hint = "HTTP/1.1 103 Early Hints\r\n\r\n";
  cases.push_back({hint + "HTTP/1.1 200 OK" + kRest, true});
  cases.push_back({"HTTP/1.1 100 Continue\r\n\r\n" + hint +
                       "HTTP/1.1 199 Odd\r\n\r\nHTTP/1.1 200 OK" + kRest,
                   true});
  cases.push_back({hint + "HTTP/1.1 099 Low" + kRest, false});
  cases.push_back({hint + "HTTP/1.1 600 High" + kRest, false});
  cases.push_back({hint, false, true});
  std::string many_hints;
  for (int i = 0; i < 100; ++i)
    many_hints += hint;
  cases.push_back({many_hints + "HTTP/1.1 200 OK" + kRest, false});
  return cases;
}

struct StatusLineFixture {
  BufferedResponse Call(const std::string& address) {
    CallOptions options;
    options.address = address;
    options.timeout = std::chrono::seconds(60);
    options.max_body_bytes = 1024;
    BufferedResponse response;
    bool is_done = false;
    StartCall(
        this->loop, this->pool, options,
        std::make_shared<HttpRequest>(boost::beast::http::verb::get, "/", 11),
        [&](BufferedResponse ended) {
          response = std::move(ended);
          is_done = true;
        });
    while (!is_done)
      this->loop.run_one();
    return response;
  }

  boost::asio::io_context loop;
  Pool pool;
};

}  // namespace

// Guards against a response without a well-formed status line, or without a
// final status from 200 to 599, that reaches a caller as a response, and
// against valid ones that do not.
BOOST_FIXTURE_TEST_CASE(OnlyValidStatusLinesAreAccepted, StatusLineFixture) {
  for (const StatusLineCase& line : MakeCases()) {
    ScriptedUpstream upstream(
        this->loop, [&line](ScriptedConnection& connection) {
          boost::system::error_code ignored;
          boost::asio::write(connection.socket, boost::asio::buffer(line.bytes),
                             ignored);
          connection.socket.close(ignored);
          return std::string();
        });
    const BufferedResponse response = this->Call(upstream.GetAddress());
    BOOST_TEST_CONTEXT(line.bytes) {
      BOOST_TEST(response.IsComplete() == line.is_valid);
      BOOST_TEST(response.end.is_malformed ==
                 (!line.is_valid && !line.is_truncated));
      BOOST_TEST(upstream.request_count == 1U);
      BOOST_TEST(response.body == (line.is_valid ? "hello" : ""));
    }
  }
}

}  // namespace poplarfork::upstream
