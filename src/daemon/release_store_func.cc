#include "daemon/release_store_func.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

#include "base/rng_func.h"
#include "claim/claim_func.h"
#include "daemon/release_driver_func.h"
#include "logging/log_func.h"
#include "release/store_answer_type.h"
#include "store/client_func.h"
#include "store/watch_func.h"

namespace poplarfork::daemon {

namespace {

using release::StoreCall;
using release::StoreCallId;
using release::StoreCallKind;
using release::StoreReply;
using release::StoreReplyKind;

constexpr char kCheckKey[] = "poplarfork/head";
constexpr base::Duration kShortestCheckInterval =
    std::chrono::milliseconds(400);
// An interval of 10 ms per live daemon makes about 100 calls/s for the whole
// fleet.
constexpr base::Duration kCheckIntervalPerDaemon =
    std::chrono::milliseconds(10);

// A watch that ends at the first change of a key in its range, at a failure or
// at its timeout.
struct WatchOnce {
  explicit WatchOnce(boost::asio::io_context& loop) : timer(loop) {}

  store::WatchPtr watch;
  boost::asio::steady_timer timer;
  bool answered = false;
};

void Answer(Daemon& daemon, StoreCallId call, StoreAnswerKind kind) {
  StoreAnswer answer;
  answer.call = call;
  answer.kind = kind;
  FeedRelease(daemon, std::move(answer));
}

void AnswerRange(Daemon& daemon,
                 StoreCallId call,
                 base::Result<store::RangeResult> result) {
  NoteStoreAnswer(daemon, result.has_value());
  if (!result.has_value()) {
    Answer(daemon, call, StoreAnswerKind::kNoReply);
    return;
  }
  StoreAnswer answer;
  answer.call = call;
  answer.kind = result.value().values.empty() ? StoreAnswerKind::kAbsent
                                              : StoreAnswerKind::kFound;
  for (store::KeyValue& entry : result.value().values)
    answer.items.push_back({std::move(entry.key), std::move(entry.value)});
  FeedRelease(daemon, std::move(answer));
}

void ReadRange(Daemon& daemon, const StoreCall& call) {
  const auto read =
      call.kind == StoreCallKind::kListKeys ? store::ListKeys : store::GetRange;
  read(daemon.store, {call.key, call.end_key}, call.limit,
       [&daemon, id = call.id](base::Result<store::RangeResult> result) {
         AnswerRange(daemon, id, std::move(result));
       });
}

StoreAnswerKind KindOf(const store::WriteResult& result) {
  switch (result.status) {
    case store::WriteStatus::kWritten:
      return StoreAnswerKind::kCreated;
    case store::WriteStatus::kConflict:
      return StoreAnswerKind::kConflict;
    case store::WriteStatus::kRefused:
    case store::WriteStatus::kNotSent:
    case store::WriteStatus::kNoAnswer:
      break;
  }
  return StoreAnswerKind::kNoReply;
}

bool WasAnswered(const store::WriteResult& result) {
  return result.status == store::WriteStatus::kWritten ||
         result.status == store::WriteStatus::kConflict;
}

void Create(Daemon& daemon, const StoreCall& call) {
  const auto done = [&daemon, id = call.id](const store::WriteResult& result) {
    NoteStoreAnswer(daemon, WasAnswered(result));
    Answer(daemon, id, KindOf(result));
  };
  if (call.guard_key.empty())
    store::CreateIfAbsent(daemon.store, call.key, call.value, store::LeaseId{},
                          done);
  else
    store::CreateGuarded(daemon.store, call.key, call.value, call.guard_key,
                         done);
}

void Delete(Daemon& daemon, const StoreCall& call) {
  store::DeleteRange(daemon.store, {call.key, call.end_key},
                     [&daemon, id = call.id](const store::WriteResult& result) {
                       const bool answered = WasAnswered(result);
                       NoteStoreAnswer(daemon, answered);
                       Answer(daemon, id,
                              answered ? StoreAnswerKind::kDeleted
                                       : StoreAnswerKind::kNoReply);
                     });
}

void EndWatch(Daemon& daemon,
              const std::shared_ptr<WatchOnce>& once,
              StoreCallId call,
              StoreAnswerKind kind) {
  if (once->answered)
    return;
  once->answered = true;
  once->timer.cancel();
  store::StopWatch(once->watch);
  Answer(daemon, call, kind);
}

void OnWatch(Daemon& daemon,
             const std::shared_ptr<WatchOnce>& once,
             const StoreCall& call,
             const base::Result<store::WatchBatch>& batch) {
  NoteStoreAnswer(daemon, batch.has_value());
  if (!batch.has_value()) {
    EndWatch(daemon, once, call.id, StoreAnswerKind::kNoReply);
    return;
  }
  for (const store::WatchEvent& event : batch.value().events) {
    const std::string& key = event.entry.key;
    if (!event.is_delete && key >= call.key && key < call.end_key) {
      EndWatch(daemon, once, call.id, StoreAnswerKind::kFound);
      return;
    }
  }
}

std::string CommonPrefix(const std::string& first, const std::string& end) {
  std::size_t size = 0;
  while (size < first.size() && size < end.size() && first[size] == end[size])
    ++size;
  return first.substr(0, size);
}

void WaitForChange(Daemon& daemon,
                   const StoreCall& call,
                   store::StoreRevision revision) {
  const auto once = std::make_shared<WatchOnce>(daemon.loop);
  once->watch = store::StartWatch(
      daemon.store, CommonPrefix(call.key, call.end_key), {revision.value + 1},
      [&daemon, once, call](const base::Result<store::WatchBatch>& batch) {
        OnWatch(daemon, once, call, batch);
      });
  once->timer.expires_after(call.timeout);
  once->timer.async_wait([&daemon, once, id = call.id](const auto& error) {
    if (!error)
      EndWatch(daemon, once, id, StoreAnswerKind::kAbsent);
  });
}

// Waits until a key of a range exists. A watch reports no change for a key that
// already exists, so the range is read first and the watch starts right after
// the store revision of that read.
void Watch(Daemon& daemon, const StoreCall& call) {
  store::GetRange(daemon.store, {call.key, call.end_key}, 1,
                  [&daemon, call](auto result) {
                    const bool answered = result.has_value();
                    NoteStoreAnswer(daemon, answered);
                    if (!answered) {
                      Answer(daemon, call.id, StoreAnswerKind::kNoReply);
                      return;
                    }
                    if (!result.value().values.empty()) {
                      Answer(daemon, call.id, StoreAnswerKind::kFound);
                      return;
                    }
                    WaitForChange(daemon, call, result.value().revision);
                  });
}

}  // namespace

void CallStore(Daemon& daemon, const StoreCall& call) {
  switch (call.kind) {
    case StoreCallKind::kReadRange:
    case StoreCallKind::kListKeys:
      ReadRange(daemon, call);
      return;
    case StoreCallKind::kCreate:
      Create(daemon, call);
      return;
    case StoreCallKind::kWatch:
      Watch(daemon, call);
      return;
    case StoreCallKind::kDeleteRange:
      Delete(daemon, call);
      return;
  }
}

void CheckStore(Daemon& daemon, base::TimePoint now) {
  if (daemon.store_reachable || now < daemon.next_store_check_at)
    return;
  const auto fleet = static_cast<std::int64_t>(daemon.live.size());
  const base::Duration interval =
      std::max(kShortestCheckInterval, fleet * kCheckIntervalPerDaemon);
  const auto jitter = base::UniformBelow(
      daemon.rng, static_cast<std::uint64_t>(interval.count()));
  daemon.next_store_check_at =
      now + interval / 2 + base::Duration(static_cast<std::int64_t>(jitter));
  store::Get(daemon.store, kCheckKey, [&daemon](const auto& result) {
    NoteStoreAnswer(daemon, result.has_value());
  });
}

void NoteStoreAnswer(Daemon& daemon, bool answered) {
  if (daemon.store_reachable == answered)
    return;
  daemon.store_reachable = answered;
  claim::OnStoreReachabilityChanged(daemon.claims, answered);
  auto fields = web::json::value::object();
  fields["reachable"] = web::json::value::boolean(answered);
  logging::LogLine("store", std::move(fields));
}

}  // namespace poplarfork::daemon
