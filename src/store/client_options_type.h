#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "base/time_type.h"

namespace poplarfork::store {

// Configuration of a store client.
struct ClientOptions {
  // "IP:port" of the store's JSON gateway.
  std::string address;
  // A call without a complete reply fails after this time.
  base::Duration call_timeout = std::chrono::seconds(1);
  // A watch opens a new connection after this time. A connection that silently
  // stopped delivering data thus delays changes no longer than this.
  base::Duration watch_renewal = std::chrono::seconds(30);
  // Exponential backoff of a watch's reconnects: the bound starts at
  // `reconnect_min` and doubles with each failure up to `reconnect_max`. The
  // delay is drawn at random between half the bound and the bound.
  base::Duration reconnect_min = std::chrono::milliseconds(100);
  base::Duration reconnect_max = std::chrono::seconds(5);
  // Token bucket that limits all calls of this client except the connections of
  // watches. Calls above the limit are not sent.
  double calls_per_second = 100.0;
  double call_burst = 200.0;
  // Seed of the random reconnect delays.
  std::uint64_t seed = 1;
};

}  // namespace poplarfork::store
