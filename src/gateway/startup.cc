#include "gateway/startup.h"

#include <memory>

#include "gateway/http_servers.h"
#include "gateway/log_func.h"
#include "gateway/peer_driver.h"
#include "gateway/store_driver.h"

namespace poplarfork::gateway {

namespace {

// A connection to an upstream in the region is established within a few
// milliseconds. If its first packet is lost, TCP sends the packet again only
// after a second, so waiting for that takes longer than trying again.
constexpr base::Duration kUpstreamConnectTimeout =
    std::chrono::milliseconds(120);
constexpr base::Duration kControlConnectTimeout =
    std::chrono::milliseconds(500);
// Time without data after which a connection to the store or another gateway is
// considered lost. An idle connection may have been lost without notice. The
// store responds to a call within milliseconds and to a watch within its
// waiting time.
constexpr base::Duration kControlSilenceTimeout =
    std::chrono::milliseconds(2000);

// Time after which an idle connection to the store or another gateway is not
// used again. A connection may go silent without notice at any time; opening a
// new one costs one round trip.
constexpr base::Duration kControlIdleTimeout = std::chrono::milliseconds(1000);

base::Result<void> OpenPeerChannel(Gateway& gateway) {
  gateway.peer_channel = std::make_unique<datagram::Channel>(
      gateway.loop,
      [&gateway](const base::DaemonId& from, const datagram::Message& message) {
        OnMessage(gateway, from, message);
      });
  const auto bound_address =
      gateway.peer_channel->Open(gateway.settings.peer_address);
  if (!bound_address)
    return bound_address.error();
  gateway.settings.peer_address = bound_address.value();
  gateway.view.self = {bound_address.value()};
  return boost::outcome_v2::success();
}

// Adds this daemon to the members in its own view.
void AddOwnMember(Gateway& gateway) {
  const Settings& settings = gateway.settings;
  fleet::MemberRecord self;
  self.member = {gateway.view.self,
                 settings.front_address,
                 settings.control_address,
                 {settings.data_centre}};
  gateway.view.members[gateway.view.self] = self;
}

}  // namespace

base::Result<void> StartGateway(Gateway& gateway, std::uint64_t seed) {
  gateway.rng.seed(seed);
  // The first attempt id is random, so that dispatchers do not mistake attempts
  // of an earlier process at the same address for attempts of this process.
  gateway.next_attempt_id = (gateway.rng() >> 16) + 1;
  // Owners distinguish the asks of successive processes by their upper half.
  gateway.dispatcher.balances.next_sequence = ((gateway.rng() >> 33) << 32) + 1;
  gateway.upstream_pool.limits.connect_timeout = kUpstreamConnectTimeout;
  gateway.control_pool.limits.connect_timeout = kControlConnectTimeout;
  gateway.control_pool.limits.silence_timeout = kControlSilenceTimeout;
  gateway.control_pool.limits.idle_timeout = kControlIdleTimeout;
  auto opened = StartHttpServers(gateway);
  if (!opened)
    return opened;
  opened = OpenPeerChannel(gateway);
  if (!opened)
    return opened;
  AddOwnMember(gateway);
  Log(gateway, "started",
      {{"data_centre", gateway.settings.data_centre},
       {"front_address", gateway.settings.front_address},
       {"peer_address", gateway.settings.peer_address},
       {"store_address", gateway.settings.store_address},
       {"upstream_heartbeat_ms",
        ToMilliseconds(gateway.settings.upstream_heartbeat)},
       {"seed", seed}});
  StartStoreClient(gateway);
  SendHellosToReaders(gateway);
  StartHellos(gateway);
  StartConnectionSweeps(gateway);
  return boost::outcome_v2::success();
}

}  // namespace poplarfork::gateway
