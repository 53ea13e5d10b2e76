#include "gateway/rejection_driver.h"

#include "gateway/log_func.h"
#include "gateway/response_func.h"
#include "metrics/registry_func.h"
#include "platform/request_func.h"

namespace poplarfork::gateway {

namespace http = boost::beast::http;

void RejectRequest(Gateway& gateway,
                   edge::Exchange& caller_exchange,
                   const edge::HttpRequest& http_request,
                   http::status status,
                   const char* reason,
                   base::Duration retry_after) {
  const platform::RequestFields fields =
      platform::ParseRequestFields(http_request);
  edge::HttpResponse response = MakeProblemResponse(status, reason);
  if (status == http::status::service_unavailable)
    response.set(http::field::retry_after,
                 std::to_string(ToMilliseconds(retry_after) / 1000));
  Log(gateway, "rejected",
      {{"request", fields.request_id},
       {"host", std::string(http_request[http::field::host])},
       {"target", std::string(http_request.target().substr(0, 200))},
       {"status", static_cast<unsigned>(status)},
       {"reason", reason},
       {"configuration",
        gateway.configuration ? gateway.configuration->version.value : 0}});
  metrics::IncrementCounter(
      gateway.metrics,
      std::string("rejected_total{reason=\"") + reason + "\"}");
  caller_exchange.Respond(std::move(response));
}

}  // namespace poplarfork::gateway
