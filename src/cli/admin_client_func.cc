#include "cli/admin_client_func.h"

#include <cpprest/http_client.h>

#include <system_error>
#include <vector>

namespace poplarfork::cli {

namespace {

web::http::http_request MakeHttpRequest(const AdminRequest& request) {
  web::http::http_request http_request(
      request.is_post ? web::http::methods::POST : web::http::methods::GET);
  http_request.set_request_uri(request.path);
  if (!request.is_post)
    return http_request;
  // The body is given as bytes, because cpprestsdk reads a body given as a
  // string through a pointer of another type, which UndefinedBehaviorSanitizer
  // reports.
  http_request.set_body(
      std::vector<unsigned char>(request.body.begin(), request.body.end()));
  http_request.headers().set_content_type("application/yaml");
  http_request.headers().add("Poplarfork-Note-Id", request.note_id);
  return http_request;
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

AdminResponse SendAdminRequest(const AdminRequest& request) {
  AdminResponse admin_response;
  try {
    web::http::client::http_client_config config;
    config.set_timeout(request.timeout);
    web::http::client::http_client client("http://" + request.daemon_address,
                                          config);
    const web::http::http_response http_response =
        client.request(MakeHttpRequest(request)).get();
    admin_response.http_status = http_response.status_code();
    admin_response.body = http_response.extract_utf8string(true).get();
    admin_response.status = AdminStatus::kResponded;
  } catch (const web::http::http_exception& error) {
    admin_response.status = IsConnectFailure(error) ? AdminStatus::kNotReachable
                                                    : AdminStatus::kNoResponse;
    admin_response.error_detail = error.what();
  } catch (const std::exception& error) {
    // The address is not a valid URI, so nothing was sent.
    admin_response.status = AdminStatus::kNotReachable;
    admin_response.error_detail = error.what();
  }
  return admin_response;
}

}  // namespace poplarfork::cli
