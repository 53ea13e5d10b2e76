#include "daemon/release_store_func.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

#include "base/rng_func.h"
#include "claim/claim_func.h"
#include "daemon/release_driver_func.h"
#include "logging/log_func.h"
#include "release/store_reply_type.h"
#include "store/client_func.h"
#include "store/watch_func.h"

namespace poplarfork::daemon {

namespace {

using release::StoreCall;
using release::StoreCallId;
using release::StoreCallKind;
using release::StoreReply;
using release::StoreReplyKind;

constexpr char kReachabilityCheckKey[] = "poplarfork/head";
constexpr base::Duration kMinCheckInterval = std::chrono::milliseconds(400);
// An interval of 10 ms per live daemon makes about 100 calls/s for the whole
// fleet.
constexpr base::Duration kCheckIntervalPerDaemon =
    std::chrono::milliseconds(10);

// A watch that ends at the first change of a key in its range, at a failure or
// at its timeout.
struct OneShotWatch {
  explicit OneShotWatch(boost::asio::io_context& loop) : timer(loop) {}

  store::WatchPtr watch;
  boost::asio::steady_timer timer;
  bool finished = false;
};

void DeliverReply(Daemon& daemon, StoreCallId call_id, StoreReplyKind kind) {
  StoreReply reply;
  reply.call = call_id;
  reply.kind = kind;
  HandleReleaseEvent(daemon, std::move(reply));
}

void DeliverRangeReply(Daemon& daemon,
                       StoreCallId call_id,
                       base::Result<store::RangeResult> result) {
  UpdateStoreReachability(daemon, result.has_value());
  if (!result.has_value()) {
    DeliverReply(daemon, call_id, StoreReplyKind::kNoReply);
    return;
  }
  StoreReply reply;
  reply.call = call_id;
  reply.kind = result.value().entries.empty() ? StoreReplyKind::kAbsent
                                              : StoreReplyKind::kFound;
  for (store::KeyValue& entry : result.value().entries)
    reply.items.push_back({std::move(entry.key), std::move(entry.value)});
  HandleReleaseEvent(daemon, std::move(reply));
}

void ReadRange(Daemon& daemon, const StoreCall& call) {
  const auto read =
      call.kind == StoreCallKind::kListKeys ? store::ListKeys : store::GetRange;
  read(daemon.store_client, {call.key, call.end_key}, call.limit,
       [&daemon, id = call.id](base::Result<store::RangeResult> result) {
         DeliverRangeReply(daemon, id, std::move(result));
       });
}

StoreReplyKind ToReplyKind(const store::WriteResult& result) {
  switch (result.status) {
    case store::WriteStatus::kWritten:
      return StoreReplyKind::kCreated;
    case store::WriteStatus::kConflict:
      return StoreReplyKind::kConflict;
    case store::WriteStatus::kRefused:
    case store::WriteStatus::kNotSent:
    case store::WriteStatus::kNoReply:
      break;
  }
  return StoreReplyKind::kNoReply;
}

bool HasReply(const store::WriteResult& result) {
  return result.status == store::WriteStatus::kWritten ||
         result.status == store::WriteStatus::kConflict;
}

void CreateKey(Daemon& daemon, const StoreCall& call) {
  const auto on_written = [&daemon,
                           id = call.id](const store::WriteResult& result) {
    UpdateStoreReachability(daemon, HasReply(result));
    DeliverReply(daemon, id, ToReplyKind(result));
  };
  if (call.guard_key.empty())
    store::CreateIfAbsent(daemon.store_client, call.key, call.value,
                          store::LeaseId{}, on_written);
  else
    store::CreateGuarded(daemon.store_client, call.key, call.value,
                         call.guard_key, on_written);
}

void DeleteKeys(Daemon& daemon, const StoreCall& call) {
  store::DeleteRange(daemon.store_client, {call.key, call.end_key},
                     [&daemon, id = call.id](const store::WriteResult& result) {
                       const bool has_reply = HasReply(result);
                       UpdateStoreReachability(daemon, has_reply);
                       DeliverReply(daemon, id,
                                    has_reply ? StoreReplyKind::kDeleted
                                              : StoreReplyKind::kNoReply);
                     });
}

void EndWatch(Daemon& daemon,
              const std::shared_ptr<OneShotWatch>& one_shot,
              StoreCallId call_id,
              StoreReplyKind kind) {
  if (one_shot->finished)
    return;
  one_shot->finished = true;
  one_shot->timer.cancel();
  store::StopWatch(one_shot->watch);
  DeliverReply(daemon, call_id, kind);
}

void OnWatchBatch(Daemon& daemon,
                  const std::shared_ptr<OneShotWatch>& one_shot,
                  const StoreCall& call,
                  const base::Result<store::WatchBatch>& batch) {
  UpdateStoreReachability(daemon, batch.has_value());
  if (!batch.has_value()) {
    EndWatch(daemon, one_shot, call.id, StoreReplyKind::kNoReply);
    return;
  }
  for (const store::WatchEvent& event : batch.value().events) {
    const std::string& key = event.entry.key;
    if (!event.is_delete && key >= call.key && key < call.end_key) {
      EndWatch(daemon, one_shot, call.id, StoreReplyKind::kFound);
      return;
    }
  }
}

std::string CommonPrefix(const std::string& first_key,
                         const std::string& end_key) {
  std::size_t size = 0;
  while (size < first_key.size() && size < end_key.size() &&
         first_key[size] == end_key[size])
    ++size;
  return first_key.substr(0, size);
}

void WaitForChange(Daemon& daemon,
                   const StoreCall& call,
                   store::StoreRevision revision) {
  const auto one_shot = std::make_shared<OneShotWatch>(daemon.loop);
  one_shot->watch = store::StartWatch(
      daemon.store_client, CommonPrefix(call.key, call.end_key),
      {revision.value + 1},
      [&daemon, one_shot, call](const base::Result<store::WatchBatch>& batch) {
        OnWatchBatch(daemon, one_shot, call, batch);
      });
  one_shot->timer.expires_after(call.timeout);
  one_shot->timer.async_wait(
      [&daemon, one_shot, id = call.id](const auto& error) {
        if (!error)
          EndWatch(daemon, one_shot, id, StoreReplyKind::kAbsent);
      });
}

// Waits until a key of a range exists. A watch reports no change for a key that
// already exists, so the range is read first and the watch starts right after
// the store revision of that read.
void WatchKeys(Daemon& daemon, const StoreCall& call) {
  store::GetRange(daemon.store_client, {call.key, call.end_key}, 1,
                  [&daemon, call](auto result) {
                    const bool has_reply = result.has_value();
                    UpdateStoreReachability(daemon, has_reply);
                    if (!has_reply) {
                      DeliverReply(daemon, call.id, StoreReplyKind::kNoReply);
                      return;
                    }
                    if (!result.value().entries.empty()) {
                      DeliverReply(daemon, call.id, StoreReplyKind::kFound);
                      return;
                    }
                    WaitForChange(daemon, call, result.value().revision);
                  });
}

}  // namespace

void StartStoreCall(Daemon& daemon, const StoreCall& call) {
  switch (call.kind) {
    case StoreCallKind::kReadRange:
    case StoreCallKind::kListKeys:
      ReadRange(daemon, call);
      return;
    case StoreCallKind::kCreate:
      CreateKey(daemon, call);
      return;
    case StoreCallKind::kWatch:
      WatchKeys(daemon, call);
      return;
    case StoreCallKind::kDeleteRange:
      DeleteKeys(daemon, call);
      return;
  }
}

void CheckStoreReachability(Daemon& daemon, base::TimePoint now) {
  if (daemon.store_reachable || now < daemon.next_store_check_at)
    return;
  const auto daemon_count =
      static_cast<std::int64_t>(daemon.live_daemons.size());
  const base::Duration interval =
      std::max(kMinCheckInterval, daemon_count * kCheckIntervalPerDaemon);
  const auto jitter = base::UniformBelow(
      daemon.rng, static_cast<std::uint64_t>(interval.count()));
  daemon.next_store_check_at =
      now + interval / 2 + base::Duration(static_cast<std::int64_t>(jitter));
  store::Get(daemon.store_client, kReachabilityCheckKey,
             [&daemon](const auto& result) {
               UpdateStoreReachability(daemon, result.has_value());
             });
}

void UpdateStoreReachability(Daemon& daemon, bool is_reachable) {
  if (daemon.store_reachable == is_reachable)
    return;
  daemon.store_reachable = is_reachable;
  claim::OnStoreReachabilityChanged(daemon.claims, is_reachable);
  auto fields = web::json::value::object();
  fields["reachable"] = web::json::value::boolean(is_reachable);
  logging::WriteLogLine("store", std::move(fields));
}

}  // namespace poplarfork::daemon
