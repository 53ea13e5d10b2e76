#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <zmq.hpp>

#include "base/error_type.h"
#include "base/ids_type.h"
#include "peer/connection_type.h"
#include "peer/counters_type.h"
#include "peer/keys_type.h"
#include "peer/limits_type.h"
#include "peer/message_type.h"
#include "peer/watched_socket_type.h"

namespace poplarfork::peer {

// Called on the event loop for every received message that passed all checks.
using MessageHandler = std::function<void(Message)>;

// Called on the event loop for every received message that was dropped. Peers
// decide how often this happens, so the handler must limit the rate of its log
// lines.
using DropHandler = std::function<void(const base::Error&)>;

// The transport between daemons: one ROUTER socket that only receives, and one
// DEALER socket per peer that only sends. All of it runs on one io_context that
// is run by one thread.
struct Transport : std::enable_shared_from_this<Transport> {
  explicit Transport(boost::asio::io_context& loop)
      : loop(loop), idle_check_timer(loop) {}

  boost::asio::io_context& loop;
  // Address and id of this daemon: "IP:port" with the port that was bound.
  base::DaemonId self;
  base::Incarnation incarnation;
  base::DataCentreId data_centre;
  ClusterKey cluster_key;
  CurveKeys curve_keys;
  std::size_t max_connections = kMaxConnections;
  MessageHandler on_message;
  DropHandler on_drop;
  Counters counters;
  // Bytes of large messages that may be sent at present, as of the last refill.
  double large_message_budget_bytes = kLargeMessageBudgetBytes;
  std::chrono::steady_clock::time_point large_message_budget_refilled_at;
  bool is_closed = false;
  zmq::context_t context;
  std::unique_ptr<WatchedSocket> router;
  // Handles the requests of ZeroMQ to check a public key. Null without CURVE.
  std::unique_ptr<WatchedSocket> authenticator;
  std::unordered_map<base::DaemonId, std::unique_ptr<Connection>> connections;
  boost::asio::steady_timer idle_check_timer;
};

}  // namespace poplarfork::peer
