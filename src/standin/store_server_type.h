#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "standin/http_server_type.h"
#include "standin/store_counts_type.h"
#include "standin/store_fault_type.h"
#include "standin/store_request_type.h"
#include "standin/store_state_type.h"

namespace poplarfork::standin {

// An open watch: a call whose reply stays open and gets a chunk for each set of
// new changes.
struct StoreWatch {
  HttpConnectionPtr connection;
  WatchRequest request;
  // Revision of the first change that has not been sent yet.
  std::uint64_t next_revision = 0;
  // True while a chunk is being written. Further changes are sent after it.
  bool is_sending = false;
};

// The stand-in of the store: an HTTP server that serves `state` as etcd's JSON
// gateway does.
struct StoreServer {
  explicit StoreServer(const boost::asio::any_io_executor& loop)
      : lease_timer(loop) {}

  HttpServerPtr server;
  StoreState state;
  StoreFaults faults;
  StoreCounts counts;
  std::vector<std::shared_ptr<StoreWatch>> watches;
  boost::asio::steady_timer lease_timer;
};

using StoreServerPtr = std::shared_ptr<StoreServer>;

}  // namespace poplarfork::standin
