#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>
#include <boost/asio/io_context.hpp>

#include "standin/http_server_type.h"
#include "standin/platform_store_type.h"

// A small deployment for the cases of the review: gateways as processes of
// their own, and in this process the platform's store, the operator, the
// backends and the clients. Everything listens on loopback addresses.
namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

struct Gateway {
  std::string name;
  std::string ip;
  std::string store_address;
  std::string settings_path;
  std::string log_path;
  // Listener of the store that only this gateway uses.
  poplarfork::standin::HttpServerPtr store_listener;
  pid_t pid = 0;
};

// One run of a request at a backend.
struct Run {
  std::string attempt_id;
  std::string backend;
  std::string gateway;
  std::string path;
  Clock::time_point started_at;
  Clock::time_point ended_at;
  bool is_at_work = true;
  // The backend has sent its whole answer.
  bool is_answered = false;
};

struct Backend {
  std::string id;
  std::string service;
  std::string zone = "a";
  std::string address;
  poplarfork::standin::HttpServerPtr server;
  int slots = 6;
  int running = 0;
  std::uint64_t sequence = 0;
  std::uint64_t born = 0;
  bool is_registered = true;
  bool is_leaving = false;
  // Value of Server-Limit in all answers; empty for none.
  std::string server_limit;
  // When requests other than health probes arrived, and from which gateway.
  std::vector<std::pair<Clock::time_point, std::string>> arrivals;
};

struct Answer {
  // 0 if the connection ended without a complete answer.
  unsigned status = 0;
  bool is_signed = false;
  bool is_leaving = false;
  std::string body;
  std::string error;
  Clock::time_point sent_at;
  Clock::time_point ended_at;
};

struct ClientRequest {
  std::string attempt_id;
  std::string method = "GET";
  std::string target;
  std::string body;
  bool is_chunked = false;
  std::string key;
  int deadline_ms = 10000;
  unsigned short port = 8161;
};

struct Fleet {
  explicit Fleet(boost::asio::io_context& event_loop) : loop(event_loop) {}

  boost::asio::io_context& loop;
  std::string program;
  std::string folder;
  std::ofstream record;
  Clock::time_point started_at = Clock::now();
  bool is_disturbed = true;
  int grace_s = 6;
  int memory_mb = 260;
  poplarfork::standin::PlatformStorePtr store;
  std::vector<Gateway> gateways;
  std::vector<std::shared_ptr<Backend>> backends;
  std::vector<Run> runs;
  std::uint64_t next_attempt = 1;
};

// Starts the store and `count` gateways, which are not running yet.
void SetUp(Fleet& fleet, int count);

// Starts a backend with its heartbeats.
std::shared_ptr<Backend> AddBackend(Fleet& fleet,
                                    const std::string& id,
                                    const std::string& service,
                                    int slots);

// Writes the entry of a backend to the store.
void WriteEntry(Fleet& fleet, Backend& backend);

// Removes the entry of a backend, as one does that leaves without notice.
void RemoveEntry(Fleet& fleet, Backend& backend);

void WriteConfiguration(Fleet& fleet, const std::string& json);

void StartGateway(Fleet& fleet, std::size_t index);

void SignalGateway(Fleet& fleet, std::size_t index, int signal_number);

// Kills a gateway for good. Its lease ends at the earliest time at which it
// can.
void LoseGateway(Fleet& fleet, std::size_t index);

void After(Fleet& fleet, milliseconds delay, std::function<void()> action);

// Sends a request on a connection of its own.
void SendRequest(Fleet& fleet,
                 std::size_t gateway,
                 const ClientRequest& request,
                 std::function<void(const Answer&)> on_answer);

std::string NewAttemptId(Fleet& fleet);

double Seconds(const Fleet& fleet, Clock::time_point moment);

void Record(Fleet& fleet, const std::string& text);

// Runs the loop for so long, then ends all processes.
void RunFor(Fleet& fleet, milliseconds duration);

// Reads the arguments of a case: the program, the folder of the record and
// whether the disruption takes place.
void ReadArguments(Fleet& fleet, int argc, char** argv);

}  // namespace review
