#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "standin/http_server_type.h"

namespace poplarfork::standin {

// A key and its value in the stand-in of the platform's store, or, in the
// history, the removal of a key.
struct PlatformItem {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;
  std::uint64_t created = 0;
  std::uint64_t lease = 0;
  bool removed = false;
};

// How the stand-in handles calls.
enum class PlatformStoreMode {
  kUp,
  // Responds with 503 and executes nothing.
  kBusy,
  // Does not respond and executes nothing.
  kSilent,
  // Resets the connection and executes nothing.
  kReset,
  // Executes writes, but resets the connection instead of responding.
  kLoseAnswers,
};

// An open watch: a call that gets its response when a key with `prefix` changes
// after revision `after_revision`, or when its timer ends.
struct PlatformWatch {
  ConnectionPtr connection;
  std::string prefix;
  std::uint64_t after = 0;
  std::shared_ptr<boost::asio::steady_timer> timer;
};

// A stand-in of the platform's store, which holds items with revisions, a
// history of changes, watches and leases. Its members may be used on the thread
// of the loop only.
struct PlatformStore {
  explicit PlatformStore(const boost::asio::any_io_executor& loop)
      : executor(loop) {}

  boost::asio::any_io_executor executor;
  ServerPtr server;
  PlatformStoreMode mode = PlatformStoreMode::kUp;
  std::map<std::string, PlatformItem> items;
  std::deque<PlatformItem> history;
  // The history holds no changes up to this revision; a watch that starts
  // before it is refused with 410.
  std::uint64_t forgotten = 0;
  std::uint64_t revision = 1;
  std::uint64_t next_lease = 1;
  // Leases do not expire; they end only when they are revoked.
  std::map<std::uint64_t, bool> leases;
  std::list<PlatformWatch> watches;
  // Number of calls by path.
  std::map<std::string, std::uint64_t> calls;
};

using PlatformStorePtr = std::shared_ptr<PlatformStore>;

}  // namespace poplarfork::standin
