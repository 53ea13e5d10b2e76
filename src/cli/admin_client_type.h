#pragma once

#include <chrono>
#include <string>

namespace poplarfork::cli {

// A request to a daemon's admin API or to a gateway's control address.
struct AdminRequest {
  // The "IP:port" of the daemon's admin API or of the gateway's control
  // address.
  std::string daemon_address;
  // The path starts with "/admin/v1/" at a daemon. It may have a query.
  std::string path;
  // A release note in YAML. Body and note id are sent only if `is_post` is
  // true.
  std::string body;
  std::string note_id;
  bool is_post = false;
  // Publishing a note takes up to 7 s, and longer if the daemon has other
  // publications to finish first.
  std::chrono::seconds timeout{20};
};

// How a request to the admin API ended.
enum class AdminStatus {
  kResponded,
  // No connection was established, so nothing was sent.
  kNotReachable,
  // The request was sent, but the connection was lost or the response did not
  // arrive in time. It is unknown whether the daemon has acted on it.
  kNoResponse,
};

// The response of a daemon's admin API, or the lack of it.
struct AdminResponse {
  AdminStatus status = AdminStatus::kNotReachable;
  int http_status = 0;
  std::string body;
  // The reason why there is no response.
  std::string error_detail;
};

}  // namespace poplarfork::cli
