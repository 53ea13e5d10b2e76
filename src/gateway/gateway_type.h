#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "base/rng_type.h"
#include "datagram/channel.h"
#include "dispatch/dispatcher_type.h"
#include "edge/server.h"
#include "fleet/configuration_type.h"
#include "fleet/list_batch_type.h"
#include "fleet/shard_type.h"
#include "fleet/split_type.h"
#include "fleet/view_type.h"
#include "gateway/live_request_type.h"
#include "gateway/settings_type.h"
#include "gateway/store_reader_type.h"
#include "metrics/registry_type.h"
#include "upstream/pool_type.h"

namespace poplarfork::gateway {

// Parts of a reader's news that have arrived.
struct NewsAssembly {
  std::set<std::uint32_t> parts;
  std::uint32_t total = 0;
  fleet::ListBatch batch;
};

// A list that is too long for one batch and is being received.
struct ListProgress {
  // The last batch was not the end.
  bool more = false;
  base::DaemonId from;
  base::TimePoint progress_at{};
  fleet::ListTransfer transfer;
};

// The state of one gateway process. All of it is used on one loop.
struct Gateway {
  explicit Gateway(boost::asio::io_context& loop)
      : loop(loop),
        request_timer(loop),
        dispatch_timer(loop),
        hello_timer(loop),
        store_timer(loop),
        configuration_timer(loop),
        register_timer(loop),
        sweep_timer(loop),
        flush_timer(loop),
        drain_timer(loop),
        settings_timer(loop) {}

  boost::asio::io_context& loop;
  Settings settings;
  std::string settings_path;
  // Time of the file's last change in nanoseconds.
  std::int64_t settings_changed_at = 0;
  base::Rng rng;

  fleet::View view;
  std::shared_ptr<const fleet::Configuration> configuration;
  // The configuration as the store holds it, for daemons that ask for it.
  std::string configuration_text;
  bool fetching_configuration = false;
  fleet::SplitState splits;

  // By service; dropped when an upstream of the service changes.
  std::map<base::ServiceId, fleet::ShardSlots> shard_slots;

  dispatch::Dispatcher dispatcher;
  std::unordered_map<request::RequestNumber, std::unique_ptr<LiveRequest>>
      requests;
  std::unordered_map<const edge::Session*, request::RequestNumber> by_session;
  std::uint64_t next_request = 1;
  std::uint64_t next_attempt = 1;
  // Attempts to the requests they belong to, while the requests live.
  std::unordered_map<dispatch::AttemptId, request::RequestNumber> attempts;

  upstream::Pool upstream_pool;
  // Connections to the store and to other gateways.
  upstream::Pool control_pool;
  std::unique_ptr<datagram::Channel> channel;
  std::shared_ptr<edge::Server> front;
  std::shared_ptr<edge::Server> ready;
  std::shared_ptr<edge::Server> control;
  std::shared_ptr<edge::Server> directory;

  StoreReader store;
  // When each reader of the store last sent news.
  std::map<base::DaemonId, base::TimePoint> news_at;
  std::map<base::DaemonId, NewsAssembly> assemblies;
  std::map<base::DaemonId, base::TimePoint> hello_at;
  ListProgress list;

  metrics::Registry metrics;

  boost::asio::steady_timer request_timer;
  base::TimePoint request_timer_at = base::TimePoint::max();
  boost::asio::steady_timer dispatch_timer;
  bool dispatch_ticking = false;
  boost::asio::steady_timer hello_timer;
  boost::asio::steady_timer store_timer;
  boost::asio::steady_timer configuration_timer;
  boost::asio::steady_timer register_timer;
  boost::asio::steady_timer sweep_timer;
  boost::asio::steady_timer flush_timer;
  bool flush_pending = false;
  boost::asio::steady_timer drain_timer;
  boost::asio::steady_timer settings_timer;

  bool draining = false;
  base::TimePoint drain_started_at{};
};

}  // namespace poplarfork::gateway
