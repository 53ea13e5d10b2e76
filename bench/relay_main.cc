#include <csignal>
#include <cstdint>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <cpprest/http_client.h>
#include <cpprest/http_listener.h>
#include <pplx/threadpool.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>

#include "logging/log_func.h"

ABSL_FLAG(int, port, 0, "port on 127.0.0.1; 0 selects a free one");
ABSL_FLAG(std::string, target, "", "IP:PORT of the upstream");
ABSL_FLAG(bool, log, false, "write one JSON line for each request");

namespace poplarfork::bench {

namespace {

using web::http::http_request;
using web::http::http_response;
using web::http::client::http_client;

// Returns a free port. The listener of cpprestsdk can't bind to port 0 and
// report the port that it got.
int FindFreePort() {
  boost::asio::io_context loop;
  const boost::asio::ip::tcp::acceptor acceptor(
      loop, {boost::asio::ip::address_v4::loopback(), 0});
  return acceptor.local_endpoint().port();
}

void LogRequest(const http_request& request, web::http::status_code status) {
  if (!absl::GetFlag(FLAGS_log))
    return;
  web::json::value fields = web::json::value::object();
  fields["method"] = web::json::value::string(request.method());
  fields["path"] = web::json::value::string(request.relative_uri().to_string());
  fields["status"] = web::json::value::number(status);
  logging::WriteLogLine("relayed", fields);
}

// Copies the headers that a relay passes on: not those of the connection, and
// not those that cpprestsdk sets itself.
void CopyEndToEndHeaders(const web::http::http_headers& from,
                         web::http::http_headers& to) {
  for (const auto& [name, text] : from) {
    if (name != "Host" && name != "Connection" && name != "Content-Length" &&
        name != "Transfer-Encoding") {
      to.add(name, text);
    }
  }
}

void SendResponse(const http_request& request,
                  const http_response& upstream_response,
                  const std::vector<unsigned char>& body) {
  http_response response(upstream_response.status_code());
  CopyEndToEndHeaders(upstream_response.headers(), response.headers());
  response.set_body(body);
  LogRequest(request, response.status_code());
  request.reply(response);
}

void SendBadGateway(const http_request& request) {
  LogRequest(request, web::http::status_codes::BadGateway);
  request.reply(web::http::status_codes::BadGateway);
}

void OnUpstreamResponse(const http_request& request,
                        const pplx::task<http_response>& task) {
  try {
    http_response upstream_response = task.get();
    upstream_response.extract_vector().then(
        [request, upstream_response](
            const pplx::task<std::vector<unsigned char>>& body) {
          try {
            SendResponse(request, upstream_response, body.get());
          } catch (const std::exception&) {
            SendBadGateway(request);
          }
        });
  } catch (const std::exception&) {
    SendBadGateway(request);
  }
}

void RelayRequest(http_client client, http_request request) {
  request.extract_vector().then(
      [client,
       request](const pplx::task<std::vector<unsigned char>>& task) mutable {
        http_request upstream_request(request.method());
        upstream_request.set_request_uri(request.relative_uri());
        CopyEndToEndHeaders(request.headers(), upstream_request.headers());
        const std::vector<unsigned char> body = task.get();
        if (!body.empty())
          upstream_request.set_body(body);
        client.request(upstream_request)
            .then([request](const pplx::task<http_response>& response_task) {
              OnUpstreamResponse(request, response_task);
            });
      });
}

int RunProgram() {
  crossplat::threadpool::initialize_with_threads(1);
  logging::StartLogging("bench_relay");
  const int port = absl::GetFlag(FLAGS_port);
  const std::string address =
      "127.0.0.1:" + std::to_string(port == 0 ? FindFreePort() : port);
  const http_client client("http://" + absl::GetFlag(FLAGS_target));
  web::http::experimental::listener::http_listener listener("http://" +
                                                            address);
  listener.support(
      [client](const http_request& request) { RelayRequest(client, request); });
  listener.open().wait();
  std::cout << "listening " << address << std::endl;
  boost::asio::io_context signals_loop;
  boost::asio::signal_set signals(signals_loop, SIGTERM, SIGINT);
  signals.async_wait([](boost::system::error_code, int) {});
  signals_loop.run();
  listener.close().wait();
  return 0;
}

}  // namespace

}  // namespace poplarfork::bench

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Baseline for benchmarks: a cpprestsdk listener and client that relay "
      "every request to --target on one thread, without any routing.");
  absl::ParseCommandLine(argc, argv);
  try {
    return poplarfork::bench::RunProgram();
  } catch (const std::exception& error) {
    std::cerr << "bench_relay: " << error.what() << std::endl;
    return 1;
  }
}
