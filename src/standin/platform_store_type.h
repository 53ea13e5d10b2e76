#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "standin/http_server_type.h"

namespace poplarfork::standin {

// A key and its value in the stand-in of the platform's store, or, in the
// history, the removal of a key.
struct PlatformItem {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;
  std::uint64_t create_revision = 0;
  std::uint64_t lease_id = 0;
  bool is_removed = false;
};

// How the stand-in handles calls.
enum class PlatformStoreMode {
  kNormal,
  // Responds with 503 and executes nothing.
  kUnavailable,
  // Does not respond and executes nothing.
  kSilent,
  // Resets the connection and executes nothing.
  kResetConnections,
  // Executes writes, but resets the connection instead of responding.
  kLoseResponses,
};

// An open watch: a call that gets its response when a key with `prefix` changes
// after revision `after_revision`, or when its timer ends.
struct PlatformWatch {
  HttpConnectionPtr connection;
  std::string prefix;
  std::uint64_t after_revision = 0;
  std::shared_ptr<boost::asio::steady_timer> timer;
};

// What a restore of the stand-in brings back.
struct PlatformStoreCopy {
  std::map<std::string, PlatformItem> items;
  std::uint64_t revision = 1;
  std::uint64_t next_lease_id = 1;
};

// A stand-in of the platform's store, which holds items with revisions, a
// history of changes, watches and leases. Its members may be used on the thread
// of the loop only.
struct PlatformStore {
  explicit PlatformStore(const boost::asio::any_io_executor& loop)
      : executor(loop) {}

  boost::asio::any_io_executor executor;
  HttpServerPtr server;
  PlatformStoreMode mode = PlatformStoreMode::kNormal;
  std::map<std::string, PlatformItem> items;
  std::deque<PlatformItem> history;
  // The history holds no changes up to this revision; a watch that starts
  // before it is refused with 410.
  std::uint64_t compacted_revision = 0;
  std::uint64_t revision = 1;
  std::uint64_t next_lease_id = 1;
  PlatformStoreCopy copy;
  // Number of restores, and the values of the header of all responses that
  // states it. Tests change them to make the header odd or leave it out.
  std::uint64_t era = 0;
  std::vector<std::string> era_fields = {"0"};
  // Leases do not expire; they end only when they are revoked.
  std::map<std::uint64_t, bool> leases;
  std::list<PlatformWatch> watches;
  // Number of calls by path.
  std::map<std::string, std::uint64_t> call_counts;
};

using PlatformStorePtr = std::shared_ptr<PlatformStore>;

}  // namespace poplarfork::standin
