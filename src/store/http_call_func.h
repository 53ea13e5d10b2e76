#pragma once

#include <functional>
#include <string>

#include <cpprest/json.h>

#include "base/result_type.h"
#include "store/client_type.h"

namespace poplarfork::store {

// Reads may be repeated on a pooled connection; a write is sent at most once,
// on a connection of its own.
enum class CallKind { kRead, kWrite };

// How far a failed call had progressed.
enum class CallProgress {
  // No byte of the call was sent.
  kNotSent,
  // Some or all of the call may have been sent.
  kMaybeSent,
  // The store replied that it does not accept the call.
  kRefused,
};

// Why a call failed, and how far it had progressed.
struct CallFailure {
  CallProgress progress = CallProgress::kMaybeSent;
  base::Error error;
};

using CallResult = boost::outcome_v2::basic_result<
    web::json::value,
    CallFailure,
    boost::outcome_v2::policy::throw_bad_result_access<CallFailure, void>>;

using CallCallback = std::function<void(const CallResult&)>;

// Returns a POST request with a JSON body.
web::http::http_request MakePostRequest(const std::string& path,
                                        const web::json::value& body);

// Posts a JSON body to a path of the store. Calls `done` exactly once, on the
// loop, with the JSON reply or the failure.
void PostCall(const ClientPtr& client,
              CallKind kind,
              const std::string& path,
              const web::json::value& body,
              CallCallback done);

}  // namespace poplarfork::store
