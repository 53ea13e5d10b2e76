#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "base/rng_type.h"
#include "soak/configuration_check_type.h"
#include "soak/gateway_process_type.h"
#include "soak/options_type.h"
#include "standin/platform_store_type.h"
#include "standin/platform_upstream_type.h"
#include "upstream/pool_type.h"

namespace poplarfork::soak {

// What callers have seen.
struct CallerCounts {
  std::uint64_t sent = 0;
  std::uint64_t served = 0;
  std::uint64_t refused = 0;
  // No complete response, although the process was never killed or paused.
  std::uint64_t unanswered = 0;
};

// What a request that crashes upstreams has done.
struct CrashCheck {
  std::vector<base::TimePoint> crashed_at;
  // Ids of the sendings that must not reach upstreams, but for a few.
  std::vector<std::string> late_ids;
  int restarts = 0;
};

// Gateways as processes of their own, and in this process the store, the
// upstreams, the operator and the callers. It is used on one event loop.
struct Fleet {
  explicit Fleet(boost::asio::io_context& event_loop) : loop(event_loop) {}

  boost::asio::io_context& loop;
  Options options;
  base::Rng rng;
  base::TimePoint started_at{};
  bool is_ending = false;

  standin::PlatformStorePtr store;
  // Each gateway reaches the store through a listener of its own, so that the
  // connections of one gateway can be disturbed.
  std::vector<standin::HttpServerPtr> store_listeners;
  std::vector<standin::PlatformUpstreamPtr> upstreams;
  std::vector<GatewayProcess> gateways;
  std::uint64_t entry_sequence = 0;

  std::uint64_t version = 0;
  ConfigurationCheck check;

  upstream::Pool caller_pool;
  std::uint64_t next_request = 1;
  CallerCounts callers;
  CrashCheck crashes;
  std::vector<std::string> violations;
  // Number of troubles by name.
  std::map<std::string, int> troubles;
};

}  // namespace poplarfork::soak
