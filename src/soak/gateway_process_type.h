#pragma once

#include <string>

#include <sys/types.h>

namespace poplarfork::soak {

// A gateway that runs as a process of its own.
struct GatewayProcess {
  std::string name;
  // IP address of all its servers; the ports are the same for all gateways.
  std::string ip;
  // "IP:port" at which this gateway reaches the store.
  std::string store_address;
  std::string settings_path;
  std::string log_path;
  // 0 while the process does not run.
  pid_t pid = 0;
  // Number of processes that were started for this gateway.
  int starts = 0;
  bool is_paused = false;
  bool is_terminating = false;
};

}  // namespace poplarfork::soak
