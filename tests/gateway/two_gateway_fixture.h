#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include <boost/test/unit_test.hpp>

#include "gateway/peer_driver.h"
#include "tests/gateway/fleet_fixture.h"

namespace poplarfork::gateway {

// Returns how often all upstreams together ran the request with the given id.
inline int CountRuns(const FleetFixture& fleet, const std::string& request_id) {
  int runs = 0;
  for (const auto& [upstream_id, upstream] : fleet.upstreams) {
    const auto found = upstream->run_counts.find(request_id);
    runs += found == upstream->run_counts.end() ? 0 : found->second;
  }
  return runs;
}

// Returns whether the view of a gateway contains exactly `count` upstreams that
// are not removed.
inline bool HasUpstreamCount(const Gateway& gateway, std::size_t count) {
  std::size_t known_count = 0;
  for (const auto& [id, record] : gateway.view.upstreams)
    known_count += record.removed ? 0 : 1;
  return known_count == count;
}

// Returns the version of a gateway's configuration, or 0 if it has none.
inline std::uint64_t GetConfigurationVersion(const Gateway& gateway) {
  return gateway.configuration ? gateway.configuration->version.value : 0;
}

// Fleet of two gateways and two upstreams that accepts requests.
struct TwoGatewayFleet : FleetFixture {
  TwoGatewayFleet() {
    this->WriteConfiguration(1);
    this->AddUpstream("u1");
    this->AddUpstream("u2");
    this->first = &this->AddGateway();
    this->second = &this->AddGateway();
    BOOST_REQUIRE(this->RunUntil([this] {
      return IsAccepting(*this->first) && IsAccepting(*this->second) &&
             this->first->view.members.size() == 2 &&
             this->second->view.members.size() == 2 &&
             HasUpstreamCount(*this->first, 2) &&
             HasUpstreamCount(*this->second, 2);
    }));
  }

  // Makes all upstreams behave with the given fault.
  void SetFault(standin::PlatformUpstreamFault fault) {
    for (const auto& [id, upstream] : this->upstreams)
      upstream->fault = fault;
  }

  Gateway* first = nullptr;
  Gateway* second = nullptr;
};

}  // namespace poplarfork::gateway
