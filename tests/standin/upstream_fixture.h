#pragma once

#include <string>

#include <openssl/crypto.h>

#include "standin/http_server_func.h"
#include "standin/json_func.h"
#include "standin/upstream_server_func.h"
#include "standin/upstream_state_func.h"
#include "tests/standin/loop_fixture.h"
#include "tests/standin/raw_client.h"

namespace poplarfork::standin {

// Time without a response after which a connection counts as silent.
inline constexpr std::chrono::milliseconds kSilenceTimeout(150);

// Runs the stand-in of an upstream with a service time of 1 ms.
struct UpstreamFixture {
  UpstreamFixture() { this->Restart(UpstreamOptions{}); }

  UpstreamFixture(const UpstreamFixture&) = delete;
  UpstreamFixture& operator=(const UpstreamFixture&) = delete;

  ~UpstreamFixture() { this->Stop(); }

  void Restart(UpstreamOptions options) {
    this->Stop();
    options.service_time = std::chrono::milliseconds(1);
    this->upstream = RunOnLoop([options] {
      return StartUpstream(TestLoop().get_executor(),
                           {boost::asio::ip::address_v4::loopback(), 0},
                           options);
    });
  }

  // Stops the upstream and frees OpenSSL's state of the loop's thread. That
  // thread outlives OpenSSL's own clean-up at exit, and the leak check would
  // report its state.
  void Stop() const {
    if (!this->upstream)
      return;
    RunOnLoop([this] {
      StopUpstream(*this->upstream);
      OPENSSL_thread_stop();
    });
  }

  RawClient Connect() const {
    return RawClient(this->upstream->server->options.endpoint);
  }

  void SetFault(const std::string& command) const {
    RawClient control = this->Connect();
    const RawResponse response =
        control.Exchange("POST", "/control/fault", "", command);
    BOOST_REQUIRE(response.status == 200);
  }

  RunRecord GetRunRecord(const std::string& key) const {
    return RunOnLoop(
        [this, key] { return this->upstream->state.run_records[key]; });
  }

  // Waits until `condition` is true for the run record of `key`.
  template <class Condition>
  void WaitForRun(const std::string& key, Condition condition) const {
    constexpr int kMaxAttempts = 1'000'000;
    bool is_met = false;
    for (int attempt = 0; attempt < kMaxAttempts && !is_met; ++attempt)
      is_met = condition(this->GetRunRecord(key));
    BOOST_REQUIRE(is_met);
  }

  UpstreamServerPtr upstream;
};

}  // namespace poplarfork::standin
