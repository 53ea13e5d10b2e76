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
inline constexpr std::chrono::milliseconds kSilence(150);

// Runs the stand-in of an upstream with a service time of 1 ms.
struct UpstreamFixture {
  UpstreamFixture() { this->Restart(UpstreamOptions{}); }

  UpstreamFixture(const UpstreamFixture&) = delete;
  UpstreamFixture& operator=(const UpstreamFixture&) = delete;

  ~UpstreamFixture() { this->Stop(); }

  void Restart(UpstreamOptions options) {
    this->Stop();
    options.service_time = std::chrono::milliseconds(1);
    this->upstream = OnLoop([options] {
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
    OnLoop([this] {
      StopUpstream(*this->upstream);
      OPENSSL_thread_stop();
    });
  }

  RawClient Connect() const {
    return RawClient(this->upstream->server->options.endpoint);
  }

  void Fault(const std::string& command) const {
    RawClient control = this->Connect();
    const RawAnswer answer =
        control.Exchange("POST", "/control/fault", "", command);
    BOOST_REQUIRE(answer.status == 200);
  }

  RunRecord Run(const std::string& key) const {
    return OnLoop([this, key] { return this->upstream->state.runs[key]; });
  }

  // Waits until `condition` is true for the run record of `key`.
  template <class Condition>
  void WaitForRun(const std::string& key, Condition condition) const {
    constexpr int kMaxAttempts = 1'000'000;
    bool holds = false;
    for (int attempt = 0; attempt < kMaxAttempts && !holds; ++attempt)
      holds = condition(this->Run(key));
    BOOST_REQUIRE(holds);
  }

  UpstreamServerPtr upstream;
};

}  // namespace poplarfork::standin
