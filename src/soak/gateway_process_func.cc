#include "soak/gateway_process_func.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <csignal>
#include <fstream>
#include <system_error>

#include "soak/options_type.h"

extern char** environ;

namespace poplarfork::soak {

namespace {

constexpr const char* kFrontPort = "8161";
constexpr const char* kReadyPort = "8167";
constexpr const char* kControlPort = "8166";
constexpr const char* kDirectoryPort = "8164";
constexpr const char* kPeerPort = "7720";

long long ToWholeMilliseconds(base::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace

std::string FrontAddress(const GatewayProcess& gateway) {
  return gateway.ip + ":" + kFrontPort;
}

void WriteSettings(const GatewayProcess& gateway,
                   const std::vector<std::string>& seeds) {
  std::ofstream file(gateway.settings_path);
  file << "name: " << gateway.name << "\ndata_centre: a\n"
       << "front_address: " << FrontAddress(gateway) << '\n'
       << "ready_address: " << gateway.ip << ':' << kReadyPort << '\n'
       << "control_address: " << gateway.ip << ':' << kControlPort << '\n'
       << "directory_address: " << gateway.ip << ':' << kDirectoryPort << '\n'
       << "peer_address: " << gateway.ip << ':' << kPeerPort << '\n'
       << "store_address: " << gateway.store_address << '\n'
       << "upstream_heartbeat: 1500ms\nseeds: [";
  for (std::size_t i = 0; i < seeds.size(); ++i)
    file << (i == 0 ? "\"" : ", \"") << seeds[i] << ':' << kControlPort << '"';
  file << "]\ngrace_time: " << ToWholeMilliseconds(kGraceTime)
       << "ms\naddress_ttl_limit: 5s\nretry_ratio: 0.2\nretry_allowance: 58\n"
       << "floor_share: 0.7\ncpu_share: 0.2\ncpu_speed: 1\nlink_mbps: 1000\n";
}

void StartProcess(GatewayProcess& gateway, const std::string& program) {
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO,
                                     gateway.log_path.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // A gateway that inherited them would keep the listeners and connections of
  // the stand-ins open after these have closed them.
  ::posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  std::string program_argument = program;
  std::string settings_argument = "--settings=" + gateway.settings_path;
  char* arguments[] = {program_argument.data(), settings_argument.data(),
                       nullptr};
  pid_t pid = 0;
  const int error = ::posix_spawn(&pid, program.c_str(), &actions, nullptr,
                                  arguments, environ);
  ::posix_spawn_file_actions_destroy(&actions);
  if (error != 0)
    throw std::system_error(error, std::generic_category(), program);
  gateway.pid = pid;
  ++gateway.starts;
  gateway.is_paused = false;
  gateway.is_terminating = false;
}

void SignalProcess(const GatewayProcess& gateway, int signal_number) {
  if (gateway.pid != 0)
    ::kill(gateway.pid, signal_number);
}

bool HasEnded(GatewayProcess& gateway, int& exit_status) {
  if (gateway.pid == 0 ||
      ::waitpid(gateway.pid, &exit_status, WNOHANG) != gateway.pid)
    return false;
  gateway.pid = 0;
  return true;
}

void KillProcess(GatewayProcess& gateway) {
  if (gateway.pid == 0)
    return;
  ::kill(gateway.pid, SIGKILL);
  int exit_status = 0;
  while (::waitpid(gateway.pid, &exit_status, 0) < 0 && errno == EINTR) {
  }
  gateway.pid = 0;
}

}  // namespace poplarfork::soak
