#include "cli/admin_client_func.h"

#include <cpprest/http_client.h>

#include <chrono>
#include <system_error>
#include <vector>

namespace poplarfork::cli {

namespace {

// Publishing a note takes up to 7 s, and longer if the daemon has other
// publications to finish first.
constexpr std::chrono::seconds kTimeout(20);

web::http::http_request MakeRequest(const AdminRequest& request) {
  web::http::http_request message(request.is_post ? web::http::methods::POST
                                                  : web::http::methods::GET);
  message.set_request_uri(request.path);
  if (!request.is_post)
    return message;
  // The body is given as bytes, because cpprestsdk reads a body given as a
  // string through a pointer of another type, which UndefinedBehaviorSanitizer
  // reports.
  message.set_body(
      std::vector<unsigned char>(request.body.begin(), request.body.end()));
  message.headers().set_content_type("application/yaml");
  message.headers().add("Poplarfork-Note-Id", request.note_id);
  return message;
}

// Returns true if the error means that no connection was established. Such an
// error has one of these codes; errors of cpprestsdk's resolver and of its loop
// over the resolved endpoints have only a text.
bool IsConnectFailure(const web::http::http_exception& error) {
  const std::error_code code = error.error_code();
  const std::string text = error.what();
  return code == std::errc::connection_refused ||
         code == std::errc::host_unreachable ||
         code == std::errc::network_unreachable ||
         text.find("Failed to connect") != std::string::npos ||
         text.find("resolving address") != std::string::npos;
}

}  // namespace

AdminAnswer CallAdmin(const AdminRequest& request) {
  AdminAnswer answer;
  try {
    web::http::client::http_client_config config;
    config.set_timeout(kTimeout);
    web::http::client::http_client client("http://" + request.daemon, config);
    const web::http::http_response response =
        client.request(MakeRequest(request)).get();
    answer.http_status = response.status_code();
    answer.body = response.extract_utf8string(true).get();
    answer.status = AdminStatus::kAnswered;
  } catch (const web::http::http_exception& error) {
    answer.status = IsConnectFailure(error) ? AdminStatus::kNotReachable
                                            : AdminStatus::kNoAnswer;
    answer.detail = error.what();
  } catch (const std::exception& error) {
    // The address is not a valid URI, so nothing was sent.
    answer.status = AdminStatus::kNotReachable;
    answer.detail = error.what();
  }
  return answer;
}

}  // namespace poplarfork::cli
