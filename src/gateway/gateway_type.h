#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "base/byte_counter_type.h"
#include "base/rng_type.h"
#include "datagram/channel.h"
#include "dispatch/dispatcher_type.h"
#include "edge/server.h"
#include "fleet/configuration_type.h"
#include "fleet/freshness_type.h"
#include "fleet/list_batch_type.h"
#include "fleet/shard_type.h"
#include "fleet/traffic_split_type.h"
#include "fleet/view_type.h"
#include "gateway/active_request_type.h"
#include "gateway/allowance_state_type.h"
#include "gateway/settings_type.h"
#include "gateway/store_client_state_type.h"
#include "metrics/registry_type.h"
#include "upstream/pool_type.h"

namespace poplarfork::gateway {

// Parts of a view update that have arrived from a store reader. A store reader
// sends one batch of records in several datagrams, which may be lost, repeated
// or reordered; the batch is applied when all parts are there.
struct ViewUpdateAssembly {
  // Indexes of the parts that have arrived.
  std::set<std::uint32_t> received_parts;
  // Number of parts that the update has.
  std::uint32_t part_count = 0;
  fleet::ListBatch batch;
};

// Progress of receiving the whole list of members and upstreams, or a list of
// changes, that is too long for one batch.
struct ListProgress {
  // Further batches follow the last one that was received.
  bool has_more = false;
  // Store reader from which the batches are requested.
  base::DaemonId reader;
  // When the last batch was received.
  base::TimePoint last_progress_at{};
  fleet::ListTransfer transfer;
};

// The latest configuration of which this daemon has heard from another daemon.
struct AnnouncedConfiguration {
  fleet::ConfigurationVersion version;
  // Daemon that has it in force.
  base::DaemonId from;
  base::TimePoint first_heard_at{};
};

// State of one gateway process, which comments call a daemon. It is used on one
// event loop only and therefore needs no locks.
struct Gateway {
  explicit Gateway(boost::asio::io_context& loop)
      : loop(loop),
        request_timer(loop),
        dispatch_timer(loop),
        crash_timer(loop),
        hello_timer(loop),
        store_timer(loop),
        configuration_timer(loop),
        registration_timer(loop),
        connection_sweep_timer(loop),
        log_flush_timer(loop),
        drain_timer(loop),
        settings_timer(loop),
        allowance(loop) {}

  boost::asio::io_context& loop;
  Settings settings;
  std::string settings_path;
  // Modification time of the settings file in nanoseconds since the epoch; 0 if
  // the file cannot be read.
  std::int64_t settings_mtime_ns = 0;
  base::Rng rng;

  fleet::View view;
  std::shared_ptr<const fleet::Configuration> configuration;
  // The configuration as the store holds it; sent to daemons that request it.
  std::string configuration_text;
  // A fetch from another daemon or a read from the store is in progress.
  bool fetching_configuration = false;
  AnnouncedConfiguration announced_configuration;
  fleet::TrafficSplitState traffic_split_state;

  // Slots of the shards of each service. They are computed on demand, and the
  // entry of a service is removed when one of its upstreams changes.
  std::map<base::ServiceId, fleet::ShardSlots> shard_slots;

  dispatch::Dispatcher dispatcher;
  // Upstreams that want no requests of this daemon for some time.
  dispatch::UpstreamPauses upstream_pauses;
  std::unordered_map<request::RequestNumber, std::unique_ptr<ActiveRequest>>
      requests;
  // Number of the active request on each caller connection.
  std::unordered_map<const edge::Exchange*, request::RequestNumber>
      requests_by_exchange;
  std::uint64_t next_request_number = 1;
  std::uint64_t next_attempt_id = 1;
  // Number of the request that each attempt belongs to, until the request ends.
  std::unordered_map<dispatch::AttemptId, request::RequestNumber>
      requests_by_attempt;

  // Bytes that are buffered for callers and upstreams.
  std::shared_ptr<base::ByteCounter> memory =
      std::make_shared<base::ByteCounter>();
  // Requests were refused at the last check because of buffered bytes.
  bool has_memory_pressure = false;

  upstream::Pool upstream_pool;
  // Connections to the store and to the control addresses of other gateways.
  upstream::Pool control_pool;
  // Datagram socket for messages to and from other gateways.
  std::unique_ptr<datagram::Channel> peer_channel;
  // Server that receives the requests of callers.
  std::shared_ptr<edge::Server> front_server;
  // Server that responds to the readiness checks of the platform.
  std::shared_ptr<edge::Server> readiness_server;
  // Server for the configuration and the metrics.
  std::shared_ptr<edge::Server> control_server;
  // Server that tells callers the addresses of gateways.
  std::shared_ptr<edge::Server> directory_server;

  StoreClientState store;
  // How current the view is.
  fleet::Freshness freshness;
  // When each store reader last sent a view update.
  std::map<base::DaemonId, base::TimePoint> last_update_at;
  std::map<base::DaemonId, ViewUpdateAssembly> update_assemblies;
  // When this daemon first sent a Hello to each of the present store readers;
  // their silence is measured from then on.
  std::map<base::DaemonId, base::TimePoint> first_hello_at;
  ListProgress list_progress;

  metrics::Registry metrics;

  boost::asio::steady_timer request_timer;
  base::TimePoint request_timer_expiry = base::TimePoint::max();
  boost::asio::steady_timer dispatch_timer;
  bool dispatch_timer_armed = false;
  // When this daemon last sent digests as a dispatcher.
  base::TimePoint digests_sent_at{};
  // Waits until other daemons are told of requests that crash upstreams.
  boost::asio::steady_timer crash_timer;
  bool crash_timer_armed = false;
  boost::asio::steady_timer hello_timer;
  boost::asio::steady_timer store_timer;
  boost::asio::steady_timer configuration_timer;
  boost::asio::steady_timer registration_timer;
  boost::asio::steady_timer connection_sweep_timer;
  boost::asio::steady_timer log_flush_timer;
  bool log_flush_pending = false;
  boost::asio::steady_timer drain_timer;
  boost::asio::steady_timer settings_timer;

  AllowanceState allowance;

  bool draining = false;
  base::TimePoint drain_started_at{};
};

}  // namespace poplarfork::gateway
