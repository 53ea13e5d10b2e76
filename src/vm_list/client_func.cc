#include "vm_list/client_func.h"

#include <exception>
#include <utility>

#include <pplx/threadpool.h>
#include <boost/asio/steady_timer.hpp>

#include "base/error_func.h"
#include "vm_list/vm_json_func.h"

namespace poplarfork::vm_list {

namespace {

using web::http::http_response;
using VmsResult = base::Result<std::vector<Vm>>;

// A call in progress. The continuations and the timer share ownership of it.
struct PendingCall {
  PendingCall(ClientPtr owner, VmsCallback callback)
      : client(std::move(owner)),
        done(std::move(callback)),
        timer(client->loop) {}

  ClientPtr client;
  VmsCallback done;
  boost::asio::steady_timer timer;
  pplx::cancellation_token_source cancellation;
};

using PendingCallPtr = std::shared_ptr<PendingCall>;

base::Error MakeCallError(const Client& client,
                          base::ErrorCode code,
                          const std::string& detail) {
  return base::MakeError(code, base::Step::kVmListCall, client.options.address,
                         detail);
}

// Ends the call with `result`. Only the first result counts: a response after
// the timeout is ignored.
void FinishCall(const PendingCallPtr& call, VmsResult result) {
  const VmsCallback done = std::exchange(call->done, nullptr);
  if (!done)
    return;
  call->timer.cancel();
  if (!result)
    call->client->counters.failures += 1;
  done(std::move(result));
}

// Ends a call with `kUnavailable`, because cpprestsdk reported an exception.
void FinishUnavailable(const PendingCallPtr& call,
                       const std::exception& error) {
  FinishCall(call, MakeCallError(*call->client, base::ErrorCode::kUnavailable,
                                 error.what()));
}

void OnBodyText(const PendingCallPtr& call,
                const pplx::task<std::string>& task) {
  try {
    VmsResult vms = ParseVms(task.get());
    if (!vms)
      vms.error().peer = call->client->options.address;
    FinishCall(call, std::move(vms));
  } catch (const std::exception& error) {
    FinishUnavailable(call, error);
  }
}

void OnResponse(const PendingCallPtr& call,
                const pplx::task<http_response>& task) {
  try {
    http_response response = task.get();
    if (response.status_code() != web::http::status_codes::OK) {
      FinishCall(call,
                 MakeCallError(*call->client, base::ErrorCode::kRefused,
                               "unexpected status " +
                                   std::to_string(response.status_code())));
      return;
    }
    response.extract_utf8string(true).then(
        [call](const pplx::task<std::string>& text) {
          OnBodyText(call, text);
        });
  } catch (const std::exception& error) {
    FinishUnavailable(call, error);
  }
}

void OnTimeout(const PendingCallPtr& call) {
  if (!call->done)
    return;
  FinishCall(call,
             MakeCallError(*call->client, base::ErrorCode::kTimeout,
                           "no complete response within the call timeout"));
  call->cancellation.cancel();
}

}  // namespace

Client::Client(const ClientOptions& client_options,
               boost::asio::io_context& asio_loop)
    : options(client_options),
      loop(asio_loop),
      http_client(web::uri("http://" + client_options.address)) {}

ClientPtr MakeClient(const ClientOptions& options) {
  return std::make_shared<Client>(
      options, crossplat::threadpool::shared_instance().service());
}

void FetchVms(const ClientPtr& client, VmsCallback done) {
  client->counters.calls += 1;
  auto call = std::make_shared<PendingCall>(client, std::move(done));
  call->timer.expires_after(client->options.call_timeout);
  call->timer.async_wait([call](boost::system::error_code error) {
    if (!error)
      OnTimeout(call);
  });
  client->http_client
      .request(web::http::methods::GET, "/v1/vms",
               call->cancellation.get_token())
      .then([call](const pplx::task<http_response>& task) {
        OnResponse(call, task);
      });
}

}  // namespace poplarfork::vm_list
