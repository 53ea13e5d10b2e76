#include "store/http_call_func.h"

#include <exception>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/error_func.h"
#include "store/now_func.h"

namespace poplarfork::store {

namespace {

using web::http::http_response;
using web::json::value;

// A call that is waiting for its reply.
struct PendingCall {
  PendingCall(ClientPtr store_client, CallCallback call_callback)
      : client(std::move(store_client)),
        done(std::move(call_callback)),
        timer(client->loop) {}

  ClientPtr client;
  CallCallback done;
  boost::asio::steady_timer timer;
  pplx::cancellation_token_source cancellation;
};

using PendingCallPtr = std::shared_ptr<PendingCall>;

CallFailure MakeCallFailure(const Client& client,
                            CallProgress progress,
                            base::ErrorCode code,
                            const std::string& detail) {
  return CallFailure{progress, base::MakeError(code, base::Step::kStoreCall,
                                               client.options.address, detail)};
}

// Ends the call with `result`. The reply, a failure and the timeout can each
// end the call; only the first one has an effect.
void FinishCall(const PendingCallPtr& call, const CallResult& result) {
  const CallCallback done = std::exchange(call->done, nullptr);
  if (!done)
    return;
  call->timer.cancel();
  if (!result)
    call->client->counts.failures += 1;
  done(result);
}

void OnTimeout(const PendingCallPtr& call) {
  if (!call->done)
    return;
  call->client->counts.timeouts += 1;
  FinishCall(call,
             MakeCallFailure(*call->client, CallProgress::kMaybeSent,
                             base::ErrorCode::kTimeout,
                             "no complete reply within the call timeout"));
  call->cancellation.cancel();
}

// Start of cpprestsdk's message when it could not connect. Its error codes do
// not distinguish that from the failure of an open connection.
constexpr std::string_view kConnectFailurePrefix = "Failed to connect";

CallFailure MakeConnectionFailure(const Client& client,
                                  std::string_view message) {
  const bool is_connect_failure = message.starts_with(kConnectFailurePrefix);
  return MakeCallFailure(
      client,
      is_connect_failure ? CallProgress::kNotSent : CallProgress::kMaybeSent,
      base::ErrorCode::kUnavailable, std::string(message));
}

CallFailure MakeExceptionFailure(const Client& client,
                                 const std::exception_ptr& thrown) {
  try {
    std::rethrow_exception(thrown);
  } catch (const std::exception& error) {
    return MakeConnectionFailure(client, error.what());
  }
}

// Returns the failure for an HTTP status other than 200. Only a status from 400
// to 499 counts as a definite refusal: after 500 or above, a write may still
// take effect.
CallFailure MakeStatusFailure(const Client& client,
                              web::http::status_code status,
                              const std::string& body) {
  const bool is_definite_refusal = status >= 400 && status < 500;
  return MakeCallFailure(
      client,
      is_definite_refusal ? CallProgress::kRefused : CallProgress::kMaybeSent,
      base::ErrorCode::kRefused,
      "status " + std::to_string(status) + ": " + body.substr(0, 200));
}

CallResult ParseReply(const Client& client,
                      web::http::status_code status,
                      const std::string& body) {
  if (status != web::http::status_codes::OK)
    return MakeStatusFailure(client, status, body);
  std::error_code error;
  value json = value::parse(body, error);
  if (error || !json.is_object()) {
    return MakeCallFailure(client, CallProgress::kMaybeSent,
                           base::ErrorCode::kMalformed,
                           "the reply is not a JSON object");
  }
  return json;
}

void OnBody(const PendingCallPtr& call,
            web::http::status_code status,
            const pplx::task<std::string>& task) {
  try {
    const std::string body = task.get();
    FinishCall(call, ParseReply(*call->client, status, body));
  } catch (...) {
    FinishCall(call,
               MakeExceptionFailure(*call->client, std::current_exception()));
  }
}

void OnResponse(const PendingCallPtr& call,
                const pplx::task<http_response>& task) {
  try {
    http_response response = task.get();
    const web::http::status_code status = response.status_code();
    response.extract_utf8string(true).then(
        [call, status](const pplx::task<std::string>& text) {
          OnBody(call, status, text);
        });
  } catch (...) {
    FinishCall(call,
               MakeExceptionFailure(*call->client, std::current_exception()));
  }
}

// Sends a write on a connection of its own. cpprestsdk's client silently
// repeats a request if a pooled connection is closed before the status line. A
// separate client object gives each write a new connection, so that the write
// is sent at most once.
pplx::task<http_response> SendOnNewConnection(const PendingCallPtr& call,
                                              web::http::http_request request) {
  request.headers().add(web::http::header_names::connection, "close");
  web::http::client::http_client write_client(
      call->client->read_client.base_uri(),
      call->client->read_client.client_config());
  return write_client.request(request, call->cancellation.get_token());
}

void SendRequest(const PendingCallPtr& call,
                 CallKind kind,
                 const web::http::http_request& request) {
  const auto token = call->cancellation.get_token();
  auto task = kind == CallKind::kWrite
                  ? SendOnNewConnection(call, request)
                  : call->client->read_client.request(request, token);
  task.then([call](const pplx::task<http_response>& response) {
    OnResponse(call, response);
  });
}

}  // namespace

// The body is a vector of bytes, because cpprestsdk casts the char stream of a
// string body to an unsigned char stream, which the sanitizer reports as an
// error.
web::http::http_request MakePostRequest(const std::string& path,
                                        const value& body) {
  const std::string text = body.serialize();
  web::http::http_request request(web::http::methods::POST);
  request.set_request_uri(web::uri(path));
  request.set_body(std::vector<unsigned char>(text.begin(), text.end()));
  request.headers().set_content_type("application/json");
  return request;
}

void PostCall(const ClientPtr& client,
              CallKind kind,
              const std::string& path,
              const value& body,
              CallCallback done) {
  auto call = std::make_shared<PendingCall>(client, std::move(done));
  if (!TryTakeCallToken(client->budget, Now())) {
    client->counts.over_budget += 1;
    boost::asio::post(client->loop, [call]() {
      FinishCall(call, MakeCallFailure(*call->client, CallProgress::kNotSent,
                                       base::ErrorCode::kRefused,
                                       "the store call budget is exhausted"));
    });
    return;
  }
  call->timer.expires_after(client->options.call_timeout);
  call->timer.async_wait([call](boost::system::error_code error) {
    if (!error)
      OnTimeout(call);
  });
  SendRequest(call, kind, MakePostRequest(path, body));
}

}  // namespace poplarfork::store
