#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "edge/exchange.h"
#include "fleet/credential_type.h"
#include "request/request_type.h"
#include "upstream/whole_call.h"

namespace poplarfork::gateway {

// Request of a caller that is in progress, with its connections to the caller
// and to the upstream.
struct ActiveRequest {
  // State from which the next action is decided.
  request::Request state;
  std::shared_ptr<edge::Exchange> caller_exchange;
  edge::HttpRequest http_request;
  // Id of the caller's attempt, used in logs and sent to the upstream.
  std::string request_id;
  std::string route_name;
  std::string service_name;
  // Digest of the caller's key. Empty if no configuration with client accounts
  // has been in force since the request arrived; the caller's fields are then
  // forwarded unchanged.
  std::optional<fleet::Credential> credential;
  // The route needed no key when the request arrived.
  bool is_public = false;
  std::uint64_t configuration_version = 0;
  // Exchanges of the attempts in progress. Responses of other attempts are
  // ignored.
  std::map<dispatch::AttemptId, std::shared_ptr<upstream::Exchange>> exchanges;
  // Complete response of an upstream that may be delivered to the caller.
  std::optional<upstream::BufferedResponse> response;
  // Complete response with which an upstream reported a failure. It is
  // delivered if no other attempt succeeds.
  std::optional<upstream::BufferedResponse> failure_response;
};

}  // namespace poplarfork::gateway
