#include "store/http_call_func.h"

#include <exception>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/error_func.h"
#include "store/loop_time_func.h"

namespace poplarfork::store {

namespace {

using web::http::http_response;
using web::json::value;

// A call that is waiting for its reply.
struct PendingCall {
  PendingCall(ClientPtr owner, CallCallback callback)
      : client(std::move(owner)),
        done(std::move(callback)),
        timer(client->loop) {}

  ClientPtr client;
  CallCallback done;
  boost::asio::steady_timer timer;
  pplx::cancellation_token_source cancellation;
};

using PendingPtr = std::shared_ptr<PendingCall>;

CallFailure MakeFailure(const Client& client,
                        CallProgress progress,
                        base::ErrorCode code,
                        const std::string& detail) {
  return CallFailure{progress, base::MakeError(code, base::Step::kStoreCall,
                                               client.options.address, detail)};
}

// Ends the call with `result`. The reply, a failure and the timeout can each
// end the call; only the first one has an effect.
void Finish(const PendingPtr& call, const CallResult& result) {
  const CallCallback done = std::exchange(call->done, nullptr);
  if (!done)
    return;
  call->timer.cancel();
  if (!result)
    call->client->counts.failures += 1;
  done(result);
}

void OnTimeout(const PendingPtr& call) {
  if (!call->done)
    return;
  call->client->counts.timeouts += 1;
  Finish(call, MakeFailure(*call->client, CallProgress::kMaybeSent,
                           base::ErrorCode::kTimeout,
                           "no complete reply within the call timeout"));
  call->cancellation.cancel();
}

// Start of cpprestsdk's message when it could not connect. Its error codes do
// not distinguish that from the failure of an open connection.
constexpr std::string_view kConnectFailure = "Failed to connect";

CallFailure ConnectionFailure(const Client& client, std::string_view text) {
  const bool is_connect = text.starts_with(kConnectFailure);
  return MakeFailure(
      client, is_connect ? CallProgress::kNotSent : CallProgress::kMaybeSent,
      base::ErrorCode::kUnavailable, std::string(text));
}

CallFailure DescribeException(const Client& client,
                              const std::exception_ptr& thrown) {
  try {
    std::rethrow_exception(thrown);
  } catch (const std::exception& error) {
    return ConnectionFailure(client, error.what());
  }
}

// Returns the failure for an HTTP status other than 200. Only a status from 400
// to 499 counts as a definite refusal: after 500 or above, a write may still
// take effect.
CallFailure StatusFailure(const Client& client,
                          web::http::status_code status,
                          const std::string& text) {
  const bool is_definite = status >= 400 && status < 500;
  return MakeFailure(
      client, is_definite ? CallProgress::kAnswered : CallProgress::kMaybeSent,
      base::ErrorCode::kRefused,
      "status " + std::to_string(status) + ": " + text.substr(0, 200));
}

CallResult ReadAnswer(const Client& client,
                      web::http::status_code status,
                      const std::string& text) {
  if (status != web::http::status_codes::OK)
    return StatusFailure(client, status, text);
  std::error_code error;
  value json = value::parse(text, error);
  if (error || !json.is_object()) {
    return MakeFailure(client, CallProgress::kMaybeSent,
                       base::ErrorCode::kMalformed,
                       "the reply is not a JSON object");
  }
  return json;
}

void OnText(const PendingPtr& call,
            web::http::status_code status,
            const pplx::task<std::string>& task) {
  try {
    const std::string text = task.get();
    Finish(call, ReadAnswer(*call->client, status, text));
  } catch (...) {
    Finish(call, DescribeException(*call->client, std::current_exception()));
  }
}

void OnResponse(const PendingPtr& call, const pplx::task<http_response>& task) {
  try {
    http_response response = task.get();
    const web::http::status_code status = response.status_code();
    response.extract_utf8string(true).then(
        [call, status](const pplx::task<std::string>& text) {
          OnText(call, status, text);
        });
  } catch (...) {
    Finish(call, DescribeException(*call->client, std::current_exception()));
  }
}

// Sends a write on a connection of its own. cpprestsdk's client silently
// repeats a request if a pooled connection is closed before the status line. A
// separate client object gives each write a new connection, so that the write
// is sent at most once.
pplx::task<http_response> SendOnNewConnection(const PendingPtr& call,
                                              web::http::http_request request) {
  request.headers().add(web::http::header_names::connection, "close");
  web::http::client::http_client writer(call->client->reads.base_uri(),
                                        call->client->reads.client_config());
  return writer.request(request, call->cancellation.get_token());
}

void Send(const PendingPtr& call,
          CallKind kind,
          const web::http::http_request& request) {
  const auto token = call->cancellation.get_token();
  auto task = kind == CallKind::kWrite
                  ? SendOnNewConnection(call, request)
                  : call->client->reads.request(request, token);
  task.then([call](const pplx::task<http_response>& response) {
    OnResponse(call, response);
  });
}

}  // namespace

// The body is a vector of bytes, because cpprestsdk casts the char stream of a
// string body to an unsigned char stream, which the sanitizer reports as an
// error.
web::http::http_request MakePost(const std::string& path, const value& body) {
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
  if (!TakeCall(client->budget, LoopNow())) {
    client->counts.over_budget += 1;
    boost::asio::post(client->loop, [call]() {
      Finish(call, MakeFailure(*call->client, CallProgress::kNotSent,
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
  Send(call, kind, MakePost(path, body));
}

}  // namespace poplarfork::store
