#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/ids_type.h"
#include "base/time_type.h"
#include "claim/run_key_type.h"
#include "daemon/digest.h"
#include "edge/exchange.h"
#include "note/configuration_type.h"
#include "upstream/exchange.h"

namespace poplarfork::daemon {

// How the response of the current attempt is passed to the caller.
enum class DeliveryMode {
  // The header of the response has not arrived yet.
  kUndecided,
  // The response is buffered until it is complete and is then sent.
  kBuffered,
  // The response is sent in parts. The last part is held back until the
  // response is known to be complete.
  kStreamed,
};

// One request of a caller, from its arrival to the end of its response.
struct Request {
  base::RequestId id;
  std::shared_ptr<edge::Exchange> caller_exchange;
  std::shared_ptr<edge::HttpRequest> http_request;
  // The configuration that was in force when the request arrived. A release
  // note that is installed later does not change it.
  std::shared_ptr<const note::Configuration> configuration;
  base::ServiceId service;
  base::AccountId account;
  bool repeatable = false;
  // Whether the claim core decides about this request. The claim core knows the
  // request by `token`.
  bool claimed = false;
  claim::RequestToken token;
  // Whether the current attempt relays the request to another daemon.
  bool relaying = false;
  // Whether the relayed request has a key that a daemon minted.
  bool relay_has_minted_key = false;
  // Whether the request counts as in flight for admission control.
  bool admitted = false;
  // Whether the request is over and no further response may be sent.
  bool ended = false;
  bool caller_disconnected = false;
  std::uint64_t fingerprint = 0;
  base::TimePoint arrived_at{};
  base::TimePoint deadline{};

  // The upstreams that are not tried again for this request.
  std::vector<base::UpstreamId> tried_upstreams;
  unsigned attempt_count = 0;
  // Whether a byte of any attempt may have reached an upstream.
  bool maybe_sent = false;
  // Set when the connection of the last attempt stopped responding, so that the
  // next attempt opens a new connection.
  bool needs_new_connection = false;

  // The exchange of the current attempt and the members that describe it.
  std::shared_ptr<upstream::Exchange> exchange;
  base::UpstreamId upstream;
  std::uint64_t attempt_number = 0;
  base::TimePoint attempt_started_at{};
  base::TimePoint first_byte_at{};
  DeliveryMode delivery_mode = DeliveryMode::kUndecided;
  // The response header as it is sent to the caller.
  edge::HttpHeader response_header;
  // The part of the response body that has not been sent to the caller yet.
  std::string buffered_body;
  // The number of body bytes received so far, summed over the first attempt of
  // a download and the attempts that resume it.
  std::uint64_t received_bytes = 0;
  // Computes the digest of the body; null if the upstream states no digest to
  // compare it with.
  std::unique_ptr<Digest> body_digest;
  std::string expected_digest;
  // The entity tag (ETag) of the response being streamed; empty if it has none.
  // Only a strong tag, which starts with a quote, allows a download to be
  // resumed.
  std::string entity_tag;
  bool invalid_response = false;
  // Whether the current attempt resumes a download that was interrupted.
  bool resuming_download = false;
};

using RequestPtr = std::shared_ptr<Request>;

}  // namespace poplarfork::daemon
