#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "gateway/gateway_type.h"
#include "standin/platform_store_func.h"
#include "standin/platform_upstream_func.h"
#include "upstream/whole_call.h"

namespace poplarfork::gateway {

// Response that a caller of the fixture gets.
struct CallerResponse {
  // The request has ended, with or without a complete response.
  bool ended = false;
  // HTTP status; 0 if there was no complete response.
  unsigned status = 0;
  std::string body;
  std::string retry_after;
  // All header fields, one "name: value" per line.
  std::string fields;
  // The response came on a connection that had served another request.
  bool is_connection_reused = false;
};

// Request that a caller of the fixture sends.
struct CallerRequest {
  std::string request_id;
  std::string target = "/look/1";
  // Sends a POST request to /order/, whose requests are not repeatable, in
  // place of a GET request to `target`.
  bool is_order = false;
  // Milliseconds for which the caller waits for the response.
  std::string deadline_ms = "2000";
  // Values of the fields Authorization and Tenant, each of which may be sent
  // more than once.
  std::vector<std::string> authorization = {};
  std::vector<std::string> tenants = {};
  // Sends the request on an open connection if there is one.
  bool reuses_connection = false;
};

// Client account of the operator's configuration.
struct FixtureAccount {
  std::vector<std::string> keys;
  std::optional<unsigned> priority = std::nullopt;
  double rate_per_second = 0;
  double burst = 0;
};

// Gateways, upstreams and a store that run on one event loop and use the
// loopback address. A wait ends as soon as its condition holds; its time limit
// is only reached if the test fails.
class FleetFixture {
 public:
  FleetFixture();
  ~FleetFixture();

  // Adds and starts a gateway. It accepts requests once it has read the store.
  Gateway& AddGateway();
  // Starts an upstream and writes its entry into the store.
  standin::PlatformUpstream& AddUpstream(const std::string& id);
  // Writes the entry of an upstream with the given state, "ready" or
  // "draining".
  void WriteEntry(const standin::PlatformUpstream& upstream,
                  const std::string& state);
  // Writes the operator's configuration into the store. Its routes are /look/,
  // whose requests are repeatable, /order/, whose requests may run only once,
  // and /open/, which is repeatable and needs no key of an account. If
  // `extra_prefix` is not empty, a repeatable route with this path prefix is
  // added.
  void WriteConfiguration(std::uint64_t version,
                          const std::string& extra_prefix = "");

  // Sends a request to the address of a gateway for callers.
  std::shared_ptr<CallerResponse> Send(Gateway& gateway,
                                       const CallerRequest& request);
  // Sends a request and waits for the response.
  CallerResponse SendAndWait(Gateway& gateway, const CallerRequest& request);
  // Sends a GET request to another address of a gateway and waits for the
  // response.
  CallerResponse Get(const std::string& address, const std::string& target);
  // Closes the connections of all callers.
  void DisconnectCallers();

  // Runs the loop until `done` returns true. Returns false if the time limit is
  // reached before.
  bool RunUntil(const std::function<bool()>& done);
  // Runs the event loop for the given time without waiting for a condition.
  void RunFor(std::chrono::milliseconds time);

  // Setting of the gateways that are added from now on.
  std::int64_t pipeline_limit = 8;

  boost::asio::io_context loop;
  standin::PlatformStorePtr store;
  std::map<std::string, standin::PlatformUpstreamPtr> upstreams;
  std::vector<std::unique_ptr<Gateway>> gateways;
  // Client accounts by name in the configurations that are written from now on;
  // they have none if this is empty.
  std::optional<std::map<std::string, FixtureAccount>> accounts;

 private:
  std::shared_ptr<CallerResponse> StartCallerRequest(
      const std::string& address,
      edge::HttpRequest request,
      upstream::ConnectionReuse reuse = upstream::ConnectionReuse::kForbidden);

  upstream::Pool caller_pool;
  std::vector<std::weak_ptr<upstream::Exchange>> caller_exchanges;
  std::uint64_t entry_sequence = 0;
};

}  // namespace poplarfork::gateway
