#include "gateway/peer_driver.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <set>
#include <utility>

#include "base/rng_func.h"
#include "clock/now_func.h"
#include "fleet/freshness_func.h"
#include "fleet/store_restore_func.h"
#include "fleet/view_func.h"
#include "gateway/allowance_driver.h"
#include "gateway/configuration_driver.h"
#include "gateway/crash_sharing_driver.h"
#include "gateway/dispatch_driver.h"
#include "gateway/log_func.h"
#include "gateway/registration.h"
#include "gateway/request_driver.h"
#include "gateway/store_driver.h"
#include "gateway/store_era_driver.h"
#include "gateway/view_update_driver.h"
#include "metrics/registry_func.h"

namespace poplarfork::gateway {

namespace {

// Interval between Hellos while a list is being received. A batch that was lost
// is requested again after this time.
constexpr base::Duration kBatchRetryInterval = std::chrono::milliseconds(150);

// Shortest interval between Hellos.
constexpr base::Duration kMinHelloInterval = std::chrono::milliseconds(100);

// A store reader that sends no view update for this long is suspected and
// passed over. Two Hellos have then remained without a reply.
constexpr base::Duration kViewUpdateTimeout = std::chrono::milliseconds(1500);

// Time for which a daemon acts as a store reader after another daemon has sent
// it a Hello.
constexpr base::Duration kReaderRoleTime = std::chrono::milliseconds(2500);

// Time without a successful call after which the reads of the store count as
// out of date. The slowest regular read is a watch that waits for a second.
constexpr base::Duration kStoreStaleTime = std::chrono::milliseconds(2500);

// A daemon that had contact neither with the store nor with a store reader for
// this long requests the whole list again, because all other daemons may have
// dropped the removals that it missed.
constexpr base::Duration kViewExpiry = std::chrono::seconds(60);

// Returns the peer addresses of the seeds. The settings name their control
// addresses; the port of the peer address is the same on all VMs.
std::vector<base::DaemonId> SeedPeers(const Gateway& gateway) {
  const std::string& own_address = gateway.settings.peer_address;
  const std::string port = own_address.substr(own_address.rfind(':'));
  std::vector<base::DaemonId> peers;
  for (const std::string& seed : gateway.settings.seeds)
    peers.push_back({seed.substr(0, seed.rfind(':')) + port});
  return peers;
}

void OnHello(Gateway& gateway,
             const base::DaemonId& from,
             const datagram::Hello& hello) {
  const base::TimePoint now = clock::Now();
  NoticeEra(gateway, hello.era, from.value);
  if (!IsReader(gateway, now))
    gateway.store.reader_since = now;
  gateway.store.last_asked_at = now;
  EnsureReading(gateway);
  const auto member = gateway.view.members.find(from);
  const bool is_unknown =
      member == gateway.view.members.end() || member->second.removed;
  if (!is_unknown) {
    member->second.accepting = hello.accepting;
    member->second.store_stale = hello.store_stale;
  }
  if (hello.as_of.value == 0)
    SendCrashRecords(gateway, from);
  // A restored store may hold an older configuration than the members.
  if (gateway.store.era.value > 0)
    OnConfigurationAnnounced(gateway, from, hello.configuration_version);
  ReplyToHello(gateway, from, hello,
               is_unknown && gateway.view.as_of.value > 0);
}

// Suspects the store readers that send no view updates, so that others take
// their place.
void SuspectSilentReaders(Gateway& gateway,
                          const std::vector<base::DaemonId>& readers,
                          base::TimePoint now) {
  for (const base::DaemonId& reader : readers) {
    if (reader == gateway.view.self)
      continue;
    const auto first_hello = gateway.first_hello_at.find(reader);
    if (first_hello == gateway.first_hello_at.end()) {
      gateway.first_hello_at[reader] = now;
      continue;
    }
    const base::TimePoint last_heard_at =
        std::max(gateway.last_update_at[reader], first_hello->second);
    if (now - last_heard_at < kViewUpdateTimeout)
      continue;
    Log(gateway, "reader_suspected",
        {{"reader", reader.value},
         {"silent_ms", ToMilliseconds(now - last_heard_at)}});
    fleet::MarkMemberSuspected(gateway.view, reader, now);
    gateway.first_hello_at.erase(reader);
  }
  std::erase_if(gateway.first_hello_at, [&readers](const auto& item) {
    return std::find(readers.begin(), readers.end(), item.first) ==
           readers.end();
  });
}

// Marks the view as incomplete if there has been no contact for too long.
void ResetExpiredView(Gateway& gateway, base::TimePoint now) {
  base::TimePoint last_contact_at = gateway.store.last_success;
  for (const auto& [id, received_at] : gateway.last_update_at)
    last_contact_at = std::max(last_contact_at, received_at);
  std::erase_if(gateway.last_update_at, [now](const auto& item) {
    return now - item.second > 2 * kViewExpiry;
  });
  if (last_contact_at == base::TimePoint{} ||
      now - last_contact_at < kViewExpiry)
    return;
  // The upstreams in the view stay usable until a view update changes them.
  // Only the revision up to which changes are known is reset, so that the whole
  // list is sent to this daemon.
  gateway.view.as_of = {};
  gateway.list_progress = {};
}

struct MessageVisitor {
  Gateway& gateway;
  const base::DaemonId& from;

  void operator()(const datagram::Hello& hello) const {
    OnHello(this->gateway, this->from, hello);
  }
  void operator()(const datagram::ViewUpdate& update) const {
    OnViewUpdate(this->gateway, this->from, update);
  }
  void operator()(const dispatch::SlotRequest& slot_request) const {
    OnSlotRequestMessage(this->gateway, this->from, slot_request);
  }
  void operator()(const dispatch::AttemptReport& attempt_report) const {
    OnAttemptReportMessage(this->gateway, this->from, attempt_report);
  }
  void operator()(const dispatch::Withdrawal& withdrawal) const {
    OnWithdrawalMessage(this->gateway, this->from, withdrawal);
  }
  void operator()(const dispatch::ShardDigest& digest) const {
    OnDigestMessage(this->gateway, this->from, digest);
  }
  void operator()(const dispatch::CrashNotices& notices) const {
    OnCrashNotices(this->gateway, this->from, notices);
  }
  void operator()(const allowance::TokenAsks& asks) const {
    OnTokenAsks(this->gateway, this->from, asks);
  }
  void operator()(const allowance::TokenGrants& grants) const {
    OnTokenGrants(this->gateway, grants);
  }
  void operator()(const dispatch::Grant& grant) const {
    OnGrant(this->gateway, this->from, grant);
  }
  void operator()(const dispatch::QueuedNotice& notice) const {
    OnQueuedNotice(this->gateway, notice);
  }
  void operator()(const dispatch::Refusal& refusal) const {
    OnRefusal(this->gateway, this->from, refusal);
  }
};

// Returns the time until the next Hellos. It is shorter when a direct read of
// the store becomes due before.
base::Duration HelloDelay(Gateway& gateway) {
  // The jitter keeps the Hellos of all daemons spread over the interval.
  const base::Duration interval =
      IsReceivingList(gateway) ? kBatchRetryInterval : fleet::kHelloInterval;
  const auto jitter = base::Duration(
      static_cast<std::int64_t>(base::Uniform01(gateway.rng) * 0.2 *
                                static_cast<double>(interval.count())));
  const base::Duration until_direct_read =
      fleet::DirectReadDueAt(gateway.freshness) - clock::Now();
  return std::min(interval - jitter,
                  std::max(until_direct_read, kMinHelloInterval));
}

}  // namespace

bool IsReader(const Gateway& gateway, base::TimePoint now) {
  if (now - gateway.store.last_asked_at < kReaderRoleTime)
    return true;
  const std::vector<base::DaemonId> readers =
      fleet::SelectStoreReaders(gateway.view, now);
  return std::find(readers.begin(), readers.end(), gateway.view.self) !=
         readers.end();
}

bool IsAccepting(const Gateway& gateway) {
  return gateway.configuration && gateway.dispatcher.ready &&
         !gateway.draining && !AwaitsPeers(gateway, clock::Now());
}

bool IsStoreStale(const Gateway& gateway, base::TimePoint now) {
  const StoreClientState& store = gateway.store;
  return store.failing || gateway.view.as_of.value == 0 ||
         fleet::IsFromEarlierEra(gateway.view, gateway.view.as_of) ||
         (store.is_reading && now - store.last_success > kStoreStaleTime);
}

void SendToDaemon(Gateway& gateway,
                  const base::DaemonId& to,
                  const datagram::Message& message) {
  if (to != gateway.view.self) {
    gateway.peer_channel->Send(to, message);
    return;
  }
  boost::asio::post(gateway.loop, [&gateway, to, message] {
    OnMessage(gateway, to, message);
  });
}

void SendHello(Gateway& gateway, const base::DaemonId& to) {
  datagram::Hello hello;
  hello.as_of = gateway.view.as_of;
  if (gateway.configuration)
    hello.configuration_version = gateway.configuration->version;
  hello.accepting = IsAccepting(gateway);
  const base::TimePoint now = clock::Now();
  hello.store_stale = IsStoreStale(gateway, now);
  hello.list_received_up_to = gateway.list_progress.transfer.received_up_to;
  hello.without_records = !RequestsRecordsFrom(gateway, to, now);
  hello.era = gateway.store.era;
  hello.wants_withheld = now < gateway.store.asks_withheld_until;
  SendToDaemon(gateway, to, hello);
}

void OnMessage(Gateway& gateway,
               const base::DaemonId& from,
               const datagram::Message& message) {
  if (from != gateway.view.self)
    fleet::MarkMemberHeard(gateway.view, from, clock::Now());
  std::visit(MessageVisitor{gateway, from}, message);
}

void SendHellosToReaders(Gateway& gateway) {
  const base::TimePoint now = clock::Now();
  // A store reader whose reads are out of date passes over itself and learns
  // the changes from other store readers.
  const auto self = gateway.view.members.find(gateway.view.self);
  if (self != gateway.view.members.end())
    self->second.store_stale = IsStoreStale(gateway, now);
  const std::vector<base::DaemonId> readers =
      fleet::SelectStoreReaders(gateway.view, now);
  SuspectSilentReaders(gateway, readers, now);
  std::set<base::DaemonId> receivers(readers.begin(), readers.end());
  if (gateway.view.as_of.value == 0) {
    for (const base::DaemonId& seed : SeedPeers(gateway))
      receivers.insert(seed);
  }
  receivers.erase(gateway.view.self);
  for (const base::DaemonId& receiver : receivers)
    SendHello(gateway, receiver);
  if (IsReader(gateway, now) || fleet::IsDirectReadDue(gateway.freshness, now))
    EnsureReading(gateway);
}

void StartHellos(Gateway& gateway) {
  gateway.hello_timer.expires_after(HelloDelay(gateway));
  gateway.hello_timer.async_wait(
      [&gateway](const boost::system::error_code& error) {
        if (error)
          return;
        const base::TimePoint now = clock::Now();
        ResetExpiredView(gateway, now);
        fleet::ExpireRemovals(gateway.view, now);
        SendHellosToReaders(gateway);
        GossipCrashRecords(gateway);
        MaintainAllowance(gateway);
        StartHellos(gateway);
      });
}

}  // namespace poplarfork::gateway
