#pragma once

#include <string>

namespace poplarfork::cli {

// A request to a daemon's admin API.
struct AdminRequest {
  // The "IP:port" of the daemon's admin API.
  std::string daemon_address;
  // The path starts with "/admin/v1/".
  std::string path;
  // A release note in YAML. Body and note id are sent only if `is_post` is
  // true.
  std::string body;
  std::string note_id;
  bool is_post = false;
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
