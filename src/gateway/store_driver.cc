#include "gateway/store_driver.h"

#include <algorithm>
#include <utility>

#include "base/error_func.h"
#include "clock/now_func.h"
#include "fleet/freshness_func.h"
#include "fleet/store_restore_func.h"
#include "gateway/configuration_driver.h"
#include "gateway/log_func.h"
#include "gateway/peer_driver.h"
#include "gateway/registration.h"
#include "gateway/store_call.h"
#include "gateway/store_item_driver.h"
#include "gateway/store_listing.h"
#include "gateway/view_update_driver.h"
#include "platform/store_func.h"

namespace poplarfork::gateway {

namespace {

// Longest time for which the store holds a watch open until there is a change.
// Upstreams write several times a second, so if no change arrives for longer,
// the store or the connection has failed.
constexpr base::Duration kWatchMaxWait = std::chrono::milliseconds(500);

constexpr base::Duration kWatchMinWait = std::chrono::milliseconds(1);

// Interval between two read rounds. The changes of one interval are read
// together, because each answered watch counts as one call to the store. The
// interval is limited by the requirement that all daemons know within 2 s that
// an upstream leaves.
constexpr base::Duration kReadRoundInterval = std::chrono::milliseconds(350);

void StartReadRound(Gateway& gateway);

void ScheduleReadRound(Gateway& gateway, base::Duration delay) {
  gateway.store_timer.expires_after(std::max(delay, base::Duration(0)));
  gateway.store_timer.async_wait(
      [&gateway](const boost::system::error_code& error) {
        if (!error)
          StartReadRound(gateway);
      });
}

// Returns whether the view has never been read or was read in an earlier era of
// the store, so that everything has to be listed.
bool IsListDue(const Gateway& gateway) {
  return gateway.view.as_of.value == 0 ||
         fleet::IsFromEarlierEra(gateway.view, gateway.view.as_of);
}

// Schedules the next read round after a watch that failed. A watch that lost
// its connection is repeated at once: what it missed may bind this daemon
// already.
void RetryWatch(Gateway& gateway, const StoreResponse& response) {
  if (!response.is_connection_lost)
    fleet::DelayDirectReads(gateway.freshness, clock::Now());
  ScheduleReadRound(gateway, ReadRetryDelay(gateway, response));
}

// Schedules the next read round after a listing that failed.
void RetryReadRound(Gateway& gateway) {
  fleet::DelayDirectReads(gateway.freshness, clock::Now());
  ScheduleReadRound(gateway, RandomStoreRetryDelay(gateway));
}

// Reads everything that the store holds: upstreams, members and the
// configuration. One prefix for all of them takes the fewest calls.
void ListStore(Gateway& gateway) {
  const fleet::StoreEra era = gateway.store.era;
  ListStoreItems(gateway, "", [&gateway, era](const Listing* listing) {
    // A list of which parts were read before a restore of the store shows
    // nothing.
    if (gateway.store.era != era && gateway.view.as_of.value > 0) {
      ScheduleReadRound(gateway, base::Duration(0));
      return;
    }
    if (!listing) {
      RetryReadRound(gateway);
      return;
    }
    ApplyListing(gateway, *listing);
    ScheduleReadRound(gateway, kReadRoundInterval);
  });
}

void OnWatchResponse(Gateway& gateway, const StoreResponse& response) {
  // An answer of an earlier era says nothing about the present one, and a watch
  // from a revision of an earlier era nothing that a list does not.
  if (response.is_late) {
    ScheduleReadRound(gateway, RandomStoreRetryDelay(gateway));
    return;
  }
  if (IsListDue(gateway) && response.status > 0 && response.status < 500) {
    ListStore(gateway);
    return;
  }
  // A watch has no limit, unlike a page of a listing: large values that are
  // written often would make every repetition of it too large as well.
  if (response.status == 410 || response.is_too_large) {
    Log(gateway, "store_history_lost",
        {{"known_to_revision", gateway.view.as_of.value},
         {"status", response.status}});
    ListStore(gateway);
    return;
  }
  auto parsed_changes = platform::ParseChanges(response.body, response.era);
  if (response.status != 200 || !parsed_changes) {
    if (response.status == 200)
      Log(gateway, "store_answer_unreadable",
          {{"call", "watch"},
           {"error", base::ToString(parsed_changes.error())}});
    RetryWatch(gateway, response);
    return;
  }
  // A paused process may receive the answer long after the store has sent it.
  const base::TimePoint answered_by =
      gateway.store.read_round_started_at + gateway.store.read_round_wait;
  ApplyChanges(gateway, parsed_changes.value(),
               std::min(clock::Now(), answered_by));
  // This daemon may not have read the store since the removal was deferred, so
  // what it remembers does not show whether the entry was written again.
  if (IsDeferredRemovalDue(gateway, clock::Now())) {
    ListStore(gateway);
    return;
  }
  ScheduleReadRound(gateway,
                    kReadRoundInterval -
                        (clock::Now() - gateway.store.read_round_started_at));
}

// Returns the time for which the store may hold the next watch open. After a
// lost connection it is short: the answer shows at once whether the store is
// available, and brings what was missed.
base::Duration ReadRoundWait(const Gateway& gateway) {
  return gateway.store.connections_lost_at > gateway.store.last_success
             ? kWatchMinWait
             : kWatchMaxWait;
}

// Starts one round of reading the store: the complete lists if none are known,
// or otherwise the changes since the last round. Stops reading if this daemon
// is no longer a store reader.
void StartReadRound(Gateway& gateway) {
  const base::TimePoint now = clock::Now();
  if (!IsReader(gateway, now) && gateway.view.as_of.value > 0 &&
      !fleet::IsDirectReadDue(gateway.freshness, now)) {
    gateway.store.is_reading = false;
    Log(gateway, "store_reading_stopped",
        {{"known_to_revision", gateway.view.as_of.value}});
    return;
  }
  gateway.store.is_reading = true;
  gateway.store.read_round_started_at = now;
  if (IsListDue(gateway)) {
    ListStore(gateway);
    return;
  }
  // The lists may have come from another daemon, without the configuration that
  // the store held at that revision. A watch from there does not bring it.
  if (!gateway.configuration ||
      !HasConfiguration(gateway, gateway.announced_configuration.version))
    ReadConfigurationFromStore(gateway);
  const base::Duration wait = ReadRoundWait(gateway);
  gateway.store.read_round_wait = wait;
  ReadStore(gateway, platform::MakeWatchRequest("", gateway.view.as_of, wait),
            wait, [&gateway](const StoreResponse& response) {
              OnWatchResponse(gateway, response);
            });
}

void ScheduleConfigurationRead(Gateway& gateway, base::Duration delay) {
  gateway.configuration_timer.expires_after(delay);
  gateway.configuration_timer.async_wait(
      [&gateway](const boost::system::error_code& error) {
        if (!error)
          ReadConfigurationFromStore(gateway);
      });
}

}  // namespace

void StartStoreClient(Gateway& gateway) {
  StartRegistration(gateway);
  gateway.store.reader_since = clock::Now();
  StartReadRound(gateway);
}

void EnsureReading(Gateway& gateway) {
  if (gateway.store.is_reading)
    return;
  Log(gateway, "store_reading_started",
      {{"known_to_revision", gateway.view.as_of.value}});
  gateway.store.reader_since = clock::Now();
  fleet::ForgetSequences(gateway.view);
  StartReadRound(gateway);
}

void ReadConfigurationFromStore(Gateway& gateway) {
  if (gateway.fetching_configuration)
    return;
  gateway.fetching_configuration = true;
  const fleet::ConfigurationVersion wanted =
      gateway.announced_configuration.version;
  ReadStore(
      gateway, platform::MakeReadItemRequest(platform::kConfigurationKey),
      base::Duration(0), [&gateway, wanted](const StoreResponse& response) {
        gateway.fetching_configuration = false;
        const auto item = platform::ParseItem(response.body, response.era);
        // The operator has not written a configuration yet. The first one
        // will arrive as a change.
        if (response.status == 404)
          return;
        if (response.status != 200 || !item) {
          ScheduleConfigurationRead(gateway, ReadRetryDelay(gateway, response));
          return;
        }
        if (InstallConfiguration(gateway, item.value().value, "store"))
          AnnounceConfiguration(gateway);
        FetchLaterConfiguration(gateway, wanted);
      });
}

void LogMember(Gateway& gateway,
               const fleet::MemberRecord& record,
               const char* source) {
  Log(gateway, "member_known",
      {{"member", record.member.id.value},
       {"data_centre", record.member.data_centre.value},
       {"capacity", record.member.capacity},
       {"removed", record.removed},
       {"revision", record.change_revision.value},
       {"source", source}});
}

}  // namespace poplarfork::gateway
