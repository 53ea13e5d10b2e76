#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/peer_driver.h"
#include "tests/gateway/fleet_fixture.h"

namespace poplarfork::gateway {

// All keys contain this text, by which they are found in logs and responses.
inline const std::string kKeyMark = "secret";
inline const std::string kAnnaKey = "secret-anna-1";
inline const std::string kAnnaOtherKey = "secret-anna-2";
inline const std::string kBertKey = "secret-bert";
inline const std::string kUnknownKey = "secret-nobody";

inline std::vector<std::string> Authorize(const std::string& key) {
  return {"Token " + key};
}

// Fleet of two gateways and one upstream whose operator has the accounts of
// Anna, with priority 0, and of Bert.
struct AccountFleet : FleetFixture {
  explicit AccountFleet(bool has_accounts = true) {
    if (has_accounts)
      this->SetAccounts();
    this->WriteConfiguration(1);
    this->upstream = &this->AddUpstream("u1");
    for (int i = 0; i < 2; ++i)
      this->AddGateway();
    BOOST_REQUIRE(this->RunUntil([this] {
      return std::all_of(this->gateways.begin(), this->gateways.end(),
                         [](const auto& gateway) {
                           return gateway->view.members.size() == 2 &&
                                  gateway->view.upstreams.size() == 1 &&
                                  IsAccepting(*gateway);
                         });
    }));
  }

  void SetAccounts() {
    this->accounts = std::map<std::string, FixtureAccount>{
        {"anna", {.keys = {kAnnaKey, kAnnaOtherKey}, .priority = 0}},
        {"bert", {.keys = {kBertKey}}}};
  }

  bool RunUntilVersion(std::uint64_t version) {
    return this->RunUntil([&] {
      return std::all_of(this->gateways.begin(), this->gateways.end(),
                         [&](const auto& gateway) {
                           return gateway->configuration->version.value ==
                                  version;
                         });
    });
  }

  // Writes a configuration in which the first key of Anna is withdrawn.
  void WithdrawKey(std::uint64_t version) {
    this->accounts->at("anna").keys = {kAnnaOtherKey};
    this->WriteConfiguration(version);
  }

  // Fills the slots of the upstream with requests to the public route.
  void FillSlots() {
    constexpr int kRequests = 4;
    this->upstream->service_time = std::chrono::milliseconds(1500);
    for (int i = 0; i < kRequests; ++i)
      this->Send(*this->gateways[0],
                 {.request_id = "filling-" + std::to_string(i),
                  .target = "/open/1",
                  .deadline_ms = "5000"});
    BOOST_REQUIRE(this->RunUntil(
        [this] { return this->upstream->run_counts.size() == kRequests; }));
  }

  // Sends a request and runs the loop until it is queued by the dispatcher.
  std::shared_ptr<CallerResponse> SendAndQueue(Gateway& gateway,
                                               CallerRequest request) {
    request.deadline_ms = "5000";
    const std::string id = request.request_id;
    auto response = this->Send(gateway, request);
    BOOST_REQUIRE(this->RunUntil([&] {
      return std::any_of(gateway.requests.begin(), gateway.requests.end(),
                         [&](const auto& item) {
                           return item.second->request_id == id &&
                                  item.second->state.phase ==
                                      request::Phase::kQueued;
                         });
    }));
    return response;
  }

  bool HasRun(const std::string& request_id) const {
    return this->upstream->run_counts.contains(request_id);
  }

  // Returns the value of a header of the latest run, or "none".
  std::string RunField(const std::string& name) const {
    const auto& head = this->upstream->last_run_head;
    const auto value = head[name];
    return head.count(name) == 0 ? "none" : std::string(value);
  }

  standin::PlatformUpstream* upstream = nullptr;
};

struct FleetWithoutAccounts : AccountFleet {
  FleetWithoutAccounts() : AccountFleet(false) {}
};

}  // namespace poplarfork::gateway
