#include "fleet.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include "standin/http_server_func.h"
#include "standin/platform_store_func.h"

namespace review {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace standin = poplarfork::standin;
using asio::ip::tcp;
using boost::system::error_code;
using standin::HttpConnectionPtr;

constexpr milliseconds kHeartbeat(1500);

// Gateways ask for leases of 12 s and renew them every 3.5 s, so a lease lasts
// this long at least after its holder is gone.
constexpr milliseconds kShortestLeaseRest(8500);

tcp::endpoint LoopbackEndpoint(const char* ip) {
  return {asio::ip::make_address(ip), 0};
}

// Returns an address of the loopback range that runs at the same time do not
// share.
std::string MakeIp(std::size_t gateway) {
  const auto process = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(1 + process % 250) + "." +
         std::to_string(1 + process / 250 % 250) + "." +
         std::to_string(gateway + 1);
}

void WriteSettings(const Fleet& fleet, const Gateway& gateway) {
  std::ofstream file(gateway.settings_path);
  file << "name: " << gateway.name << "\ndata_centre: a\n"
       << "front_address: " << gateway.ip << ":8161\n"
       << "ready_address: " << gateway.ip << ":8167\n"
       << "control_address: " << gateway.ip << ":8166\n"
       << "directory_address: " << gateway.ip << ":8164\n"
       << "peer_address: " << gateway.ip << ":7720\n"
       << "store_address: " << gateway.store_address << '\n'
       << "upstream_heartbeat: 1500ms\nseeds: [";
  for (std::size_t i = 0; i < std::min<std::size_t>(fleet.gateways.size(), 3);
       ++i)
    file << (i == 0 ? "\"" : ", \"") << fleet.gateways[i].ip << ":8166\"";
  file << "]\ngrace_time: " << fleet.grace_s << "s\naddress_ttl_limit: 5s\n"
       << "retry_ratio: 0.2\nretry_allowance: 60\nfloor_share: 0.7\n"
       << "memory_limit_mb: " << fleet.memory_mb << '\n'
       << "cpu_share: 0.2\ncpu_speed: 1\nlink_mbps: 1000\n";
}

void SendHeartbeats(Fleet& fleet, const std::shared_ptr<Backend>& backend) {
  if (backend->is_registered)
    WriteEntry(fleet, *backend);
  After(fleet, kHeartbeat,
        [&fleet, backend] { SendHeartbeats(fleet, backend); });
}

standin::Response MakeResponse(const Backend& backend,
                               const std::string& attempt_id,
                               unsigned status) {
  standin::Response response;
  response.status = status;
  response.content_type = "text/plain";
  response.headers = {{"Attempt-Id", attempt_id},
                      {"Keep-Alive", "timeout=10"},
                      {"Backend-Load", std::to_string(backend.running) + ",0," +
                                           std::to_string(backend.slots)}};
  if (backend.is_leaving)
    response.headers.push_back({"Server-Leaving", "1"});
  if (!backend.server_limit.empty())
    response.headers.push_back({"Server-Limit", backend.server_limit});
  return response;
}

std::string RemoteIp(const HttpConnectionPtr& connection) {
  error_code error;
  const auto endpoint = connection->socket.remote_endpoint(error);
  return error ? "unknown" : endpoint.address().to_string();
}

void EndRun(Fleet& fleet, Backend& backend, std::size_t run, bool is_answered) {
  if (!fleet.runs[run].is_at_work)
    return;
  --backend.running;
  fleet.runs[run].is_at_work = false;
  fleet.runs[run].is_answered = is_answered;
  fleet.runs[run].ended_at = Clock::now();
}

void StartRun(Fleet& fleet,
              const std::shared_ptr<Backend>& backend,
              const HttpConnectionPtr& connection,
              const std::string& attempt_id) {
  const std::size_t run = fleet.runs.size();
  fleet.runs.push_back({attempt_id,
                        backend->id,
                        RemoteIp(connection),
                        std::string(standin::RequestPath(*connection)),
                        Clock::now(),
                        {}});
  ++backend->running;
  const int work_ms =
      std::atoi(standin::QueryValue(*connection, "work_ms").c_str());
  const auto answer_bytes = static_cast<std::size_t>(
      std::atoi(standin::QueryValue(*connection, "bytes").c_str()));
  const std::string deadline = standin::HeaderValue(*connection, "Deadline-Ms");
  const int time_left_ms =
      deadline.empty() ? work_ms + 1 : std::atoi(deadline.c_str());
  const bool is_in_time = work_ms < time_left_ms;
  standin::WatchForClose(connection, [&fleet, backend, run] {
    EndRun(fleet, *backend, run, false);
  });
  After(
      fleet, milliseconds(std::min(work_ms, time_left_ms)),
      [&fleet, backend, connection, run, attempt_id, is_in_time, answer_bytes] {
        if (!fleet.runs[run].is_at_work)
          return;
        EndRun(fleet, *backend, run, true);
        standin::Response response =
            MakeResponse(*backend, attempt_id, is_in_time ? 200 : 504);
        response.headers.push_back(
            {"Response-Signature", "s." + backend->id + "." + attempt_id});
        response.body = "answer to " + attempt_id;
        response.body.resize(std::max(response.body.size(), answer_bytes), '.');
        standin::SendResponse(connection, response);
      });
}

void OnBackendRequest(Fleet& fleet,
                      const std::shared_ptr<Backend>& backend,
                      const HttpConnectionPtr& connection) {
  const std::string attempt_id =
      standin::HeaderValue(*connection, "Attempt-Id");
  if (standin::RequestPath(*connection) == "/health") {
    standin::Response response =
        MakeResponse(*backend, attempt_id, backend->is_leaving ? 503 : 200);
    response.headers.push_back({"Instance-Id", backend->id});
    standin::SendResponse(connection, response);
    return;
  }
  backend->arrivals.emplace_back(Clock::now(), RemoteIp(connection));
  const std::string target =
      standin::HeaderValue(*connection, "Target-Instance");
  if (!target.empty() && target != backend->id) {
    standin::SendResponse(connection, MakeResponse(*backend, attempt_id, 421));
    return;
  }
  if (backend->running >= backend->slots) {
    standin::Response response = MakeResponse(*backend, attempt_id, 503);
    response.headers.push_back({"Not-Executed", "1"});
    standin::SendResponse(connection, response);
    return;
  }
  StartRun(fleet, backend, connection, attempt_id);
}

// A request of a client on a connection of its own.
struct Call {
  explicit Call(asio::io_context& loop) : socket(loop), timer(loop) {}
  tcp::socket socket;
  asio::steady_timer timer;
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  std::string bytes;
  Answer answer;
  std::function<void(const Answer&)> on_answer;
  bool is_done = false;
};

void FinishCall(const std::shared_ptr<Call>& call, const error_code& error) {
  if (call->is_done)
    return;
  call->is_done = true;
  call->timer.cancel();
  Answer& answer = call->answer;
  answer.ended_at = Clock::now();
  answer.error = error ? error.message() : "";
  if (!error) {
    const auto& response = call->parser.get();
    answer.status = response.result_int();
    answer.is_signed = response.count("Response-Signature") > 0;
    answer.is_leaving = response.count("Server-Leaving") > 0;
    answer.body = response.body();
  }
  error_code ignored;
  call->socket.close(ignored);
  call->on_answer(answer);
}

std::string FormatRequest(const ClientRequest& request) {
  std::string text =
      request.method + " " + request.target +
      " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + request.attempt_id +
      "\r\nDeadline-Ms: " + std::to_string(request.deadline_ms) + "\r\n";
  if (!request.key.empty())
    text += "Authorization: Token " + request.key + "\r\n";
  if (request.is_chunked) {
    char size[32];
    std::snprintf(size, sizeof(size), "%zx", request.body.size());
    return text + "Transfer-Encoding: chunked\r\n\r\n" + size + "\r\n" +
           request.body + "\r\n0\r\n\r\n";
  }
  if (!request.body.empty())
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  return text + "\r\n" + request.body;
}

}  // namespace

void SetUp(Fleet& fleet, int count) {
  ::signal(SIGPIPE, SIG_IGN);
  fleet.store = standin::StartPlatformStore(fleet.loop.get_executor(),
                                            LoopbackEndpoint("127.0.0.1"));
  for (int i = 0; i < count; ++i) {
    Gateway gateway;
    gateway.name = "gateway-" + std::to_string(i);
    gateway.ip = MakeIp(static_cast<std::size_t>(i));
    gateway.store_listener = standin::AddPlatformStoreListener(
        fleet.store, LoopbackEndpoint("127.0.0.1"));
    gateway.store_address = standin::ListeningAddress(*gateway.store_listener);
    gateway.settings_path = fleet.folder + "/" + gateway.name + ".yaml";
    gateway.log_path = fleet.folder + "/" + gateway.name + ".log";
    fleet.gateways.push_back(gateway);
  }
  for (const Gateway& gateway : fleet.gateways)
    WriteSettings(fleet, gateway);
}

std::shared_ptr<Backend> AddBackend(Fleet& fleet,
                                    const std::string& id,
                                    const std::string& service,
                                    int slots) {
  auto backend = std::make_shared<Backend>();
  backend->id = id;
  backend->service = service;
  backend->slots = slots;
  backend->born = static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
  standin::HttpServerOptions options;
  options.endpoint = LoopbackEndpoint("127.0.0.2");
  options.max_buffered_body_bytes = 1024 * 1024;
  backend->server =
      standin::StartHttpServer(fleet.loop.get_executor(), options,
                               [&fleet, weak = std::weak_ptr<Backend>(backend)](
                                   const HttpConnectionPtr& connection) {
                                 if (const auto live = weak.lock())
                                   OnBackendRequest(fleet, live, connection);
                               });
  backend->address = standin::ListeningAddress(*backend->server);
  fleet.backends.push_back(backend);
  SendHeartbeats(fleet, backend);
  return backend;
}

void WriteEntry(Fleet& fleet, Backend& backend) {
  const nlohmann::json entry = {
      {"service", backend.service}, {"address", backend.address},
      {"zone", backend.zone},       {"version", "v1"},
      {"slots", backend.slots},     {"state", "ready"},
      {"warmupLeft", "0ms"},        {"sequence", ++backend.sequence},
      {"born", backend.born}};
  standin::PutPlatformItem(*fleet.store, "servers/" + backend.id, entry.dump());
}

void RemoveEntry(Fleet& fleet, Backend& backend) {
  backend.is_registered = false;
  standin::RemovePlatformItem(*fleet.store, "servers/" + backend.id);
}

void WriteConfiguration(Fleet& fleet, const std::string& json) {
  standin::PutPlatformItem(*fleet.store, "op/config", json);
}

void StartGateway(Fleet& fleet, std::size_t index) {
  Gateway& gateway = fleet.gateways.at(index);
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO,
                                     gateway.log_path.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  ::posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  std::string settings = "POPLARFORK_CONFIG=" + gateway.settings_path;
  std::array<char*, 2> environment = {settings.data(), nullptr};
  std::array<char*, 2> arguments = {fleet.program.data(), nullptr};
  const int error =
      ::posix_spawn(&gateway.pid, fleet.program.c_str(), &actions, nullptr,
                    arguments.data(), environment.data());
  ::posix_spawn_file_actions_destroy(&actions);
  if (error != 0)
    throw std::runtime_error("cannot start " + fleet.program);
}

void SignalGateway(Fleet& fleet, std::size_t index, int signal_number) {
  const Gateway& gateway = fleet.gateways.at(index);
  Record(fleet,
         "signal " + std::to_string(signal_number) + " to " + gateway.name);
  if (gateway.pid > 0)
    ::kill(gateway.pid, signal_number);
}

void LoseGateway(Fleet& fleet, std::size_t index) {
  Gateway& gateway = fleet.gateways.at(index);
  SignalGateway(fleet, index, SIGKILL);
  ::waitpid(gateway.pid, nullptr, 0);
  gateway.pid = 0;
  std::uint64_t lease = 0;
  for (const auto& [key, item] : fleet.store->items) {
    if (item.lease_id != 0 && key.find(gateway.ip + ":") != std::string::npos)
      lease = item.lease_id;
  }
  if (lease == 0)
    throw std::runtime_error("no entry of " + gateway.name);
  After(fleet, kShortestLeaseRest, [&fleet, lease, name = gateway.name] {
    Record(fleet, "the lease of " + name + " ends");
    standin::RevokePlatformLease(*fleet.store, lease);
  });
}

void After(Fleet& fleet, milliseconds delay, std::function<void()> action) {
  auto timer = std::make_shared<asio::steady_timer>(fleet.loop);
  timer->expires_after(delay);
  timer->async_wait(
      [timer, action = std::move(action)](const error_code& error) {
        if (!error)
          action();
      });
}

void SendRequest(Fleet& fleet,
                 std::size_t gateway,
                 const ClientRequest& request,
                 std::function<void(const Answer&)> on_answer) {
  auto call = std::make_shared<Call>(fleet.loop);
  call->bytes = FormatRequest(request);
  call->on_answer = std::move(on_answer);
  call->answer.sent_at = Clock::now();
  call->timer.expires_after(milliseconds(request.deadline_ms + 1000));
  call->timer.async_wait([call](const error_code& error) {
    if (!error)
      FinishCall(call, asio::error::timed_out);
  });
  const tcp::endpoint endpoint(
      asio::ip::make_address(fleet.gateways.at(gateway).ip), request.port);
  call->socket.async_connect(endpoint, [call](const error_code& connected) {
    if (connected) {
      FinishCall(call, connected);
      return;
    }
    asio::async_write(call->socket, asio::buffer(call->bytes),
                      [call](const error_code& written, std::size_t) {
                        if (written) {
                          FinishCall(call, written);
                          return;
                        }
                        http::async_read(
                            call->socket, call->buffer, call->parser,
                            [call](const error_code& read, std::size_t) {
                              FinishCall(call, read);
                            });
                      });
  });
}

std::string NewAttemptId(Fleet& fleet) {
  char text[32];
  std::snprintf(text, sizeof(text), "%08x%08x",
                static_cast<unsigned>(::getpid()),
                static_cast<unsigned>(fleet.next_attempt++));
  return text;
}

double Seconds(const Fleet& fleet, Clock::time_point moment) {
  return std::chrono::duration<double>(moment - fleet.started_at).count();
}

void Record(Fleet& fleet, const std::string& text) {
  char moment[32];
  std::snprintf(moment, sizeof(moment), "%8.3f ", Seconds(fleet, Clock::now()));
  fleet.record << moment << text << std::endl;
}

void RunFor(Fleet& fleet, milliseconds duration) {
  After(fleet, duration, [&fleet] { fleet.loop.stop(); });
  asio::signal_set signals(fleet.loop, SIGINT, SIGTERM);
  signals.async_wait([&fleet](const error_code& error, int) {
    if (!error)
      fleet.loop.stop();
  });
  fleet.loop.run();
  for (Gateway& gateway : fleet.gateways) {
    if (gateway.pid <= 0)
      continue;
    ::kill(gateway.pid, SIGKILL);
    ::waitpid(gateway.pid, nullptr, 0);
    gateway.pid = 0;
  }
}

void ReadArguments(Fleet& fleet, int argc, char** argv) {
  if (argc != 4)
    throw std::runtime_error("expected: PROGRAM FOLDER RECORD");
  fleet.program = argv[1];
  fleet.folder = argv[2];
  fleet.record.open(argv[3]);
  const char* trouble = std::getenv("TROUBLE");
  fleet.is_disturbed = !trouble || std::string(trouble) != "0";
}

}  // namespace review
