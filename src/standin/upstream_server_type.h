#pragma once

#include <deque>
#include <memory>

#include <boost/asio/steady_timer.hpp>

#include "standin/body_digest_func.h"
#include "standin/http_server_type.h"
#include "standin/request_info_type.h"
#include "standin/run_plan_type.h"
#include "standin/upstream_state_type.h"

namespace poplarfork::standin {

// A request that the upstream is processing: it waits for a slot, is run, or
// gets its response.
struct Job {
  explicit Job(const boost::asio::any_io_executor& loop)
      : service_timer(loop), deadline_timer(loop) {}

  HttpConnectionPtr connection;
  RequestInfo request;
  RunPlan plan;
  bool is_running = false;
  bool is_finished = false;
  boost::asio::steady_timer service_timer;
  boost::asio::steady_timer deadline_timer;
};

using JobPtr = std::shared_ptr<Job>;

// The stand-in of an upstream: `state` and the server that serves it.
struct UpstreamServer {
  explicit UpstreamServer(const boost::asio::any_io_executor& loop)
      : restart_timer(loop) {}

  HttpServerPtr server;
  UpstreamState state;
  // Jobs that wait for a slot.
  std::deque<JobPtr> queue;
  std::shared_ptr<DigestCache> digest_cache = std::make_shared<DigestCache>();
  boost::asio::steady_timer restart_timer;
};

using UpstreamServerPtr = std::shared_ptr<UpstreamServer>;

}  // namespace poplarfork::standin
