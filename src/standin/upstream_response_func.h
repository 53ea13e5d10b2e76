#pragma once

#include <functional>

#include "standin/response_type.h"
#include "standin/upstream_server_type.h"

namespace poplarfork::standin {

// Returns the headers that every response of the upstream has.
std::vector<ResponseHeader> CommonHeaders(const UpstreamState& state,
                                          const RequestInfo& request);

// Sends the response to a job whose run has ended, as the job's plan says.
// `on_sent` is called after the last byte has been written, or when the
// connection has failed.
void SendJobResponse(const UpstreamServerPtr& upstream,
                     const JobPtr& job,
                     std::function<void()> on_sent);

// Sends a response with a status and {"reason": text}, for example when the
// upstream sheds the request. A 503 response has a Retry-After header.
void SendStatusResponse(const UpstreamServerPtr& upstream,
                        const JobPtr& job,
                        unsigned status,
                        const std::string& text);

}  // namespace poplarfork::standin
