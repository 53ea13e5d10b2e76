#pragma once

#include <string>
#include <utility>

#include "base/error_func.h"
#include "standin/http_server_func.h"
#include "standin/json_func.h"
#include "standin/store_fault_func.h"
#include "standin/store_server_func.h"
#include "standin/store_state_func.h"
#include "store/client_func.h"
#include "store/watch_func.h"
#include "tests/standin/loop_fixture.h"

namespace poplarfork::store {

using standin::AwaitCallback;
using standin::RunOnLoop;

// Runs a stand-in store and a client that is connected to it.
struct StoreFixture {
  StoreFixture() {
    this->store = RunOnLoop([] {
      const boost::asio::ip::tcp::endpoint loopback(
          boost::asio::ip::address_v4::loopback(), 0);
      return standin::StartStore(standin::TestLoop().get_executor(), loopback);
    });
    ClientOptions options;
    options.address = standin::ListeningAddress(*this->store->server);
    options.call_timeout = std::chrono::milliseconds(300);
    options.reconnect_min = std::chrono::milliseconds(5);
    options.reconnect_max = std::chrono::milliseconds(20);
    options.call_burst = 100000;
    this->client = RunOnLoop([options] { return MakeClient(options); });
  }

  StoreFixture(const StoreFixture&) = delete;
  StoreFixture& operator=(const StoreFixture&) = delete;

  ~StoreFixture() {
    RunOnLoop([this] { standin::StopStore(*this->store); });
  }

  void ApplyFault(const std::string& command) const {
    const bool is_applied = RunOnLoop([this, command] {
      const auto json = standin::ParseJsonObject(command);
      return json && standin::ApplyStoreFault(this->store->faults,
                                              this->store->state, json.value());
    });
    BOOST_REQUIRE(is_applied);
  }

  WriteResult Create(const std::string& key, const std::string& value) const {
    return AwaitCallback<WriteResult>([=, this](auto done) {
      CreateIfAbsent(this->client, key, value, LeaseId{}, done);
    });
  }

  WriteResult Swap(const std::string& key,
                   StoreRevision expected,
                   const std::string& value) const {
    return AwaitCallback<WriteResult>([=, this](auto done) {
      CompareAndSwap(this->client, key, expected, value, done);
    });
  }

  base::Result<GetResult> Read(const std::string& key) const {
    return AwaitCallback<base::Result<GetResult>>(
        [=, this](auto done) { Get(this->client, key, done); });
  }

  standin::StoreServerPtr store;
  ClientPtr client;
};

}  // namespace poplarfork::store
