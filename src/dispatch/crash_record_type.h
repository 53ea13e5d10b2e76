#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids_type.h"
#include "base/time_type.h"
#include "dispatch/message_type.h"

namespace poplarfork::dispatch {

// What is known of an upstream at which a connection broke.
enum class RunVerdict {
  // The upstream may have crashed.
  kSuspected,
  // The upstream has responded since. It may have been started again before.
  kCleared,
  // The upstream has ended.
  kCrash,
};

// A run of a request that ended with a broken connection.
struct BrokenRun {
  base::UpstreamId upstream;
  // Fingerprint of the request's content.
  Fingerprint fingerprint;
  base::TimePoint granted_at{};
  base::TimePoint broke_at{};
  RunVerdict verdict = RunVerdict::kSuspected;
};

// What another dispatcher has counted.
struct ToldCrashes {
  std::uint32_t crashes = 0;
  // With the runs that may have been crashes.
  std::uint32_t suspected = 0;
  base::TimePoint last_broke_at{};
};

// Requests with one fingerprint whose connections to upstreams broke.
struct CrashRecord {
  // The latest runs, in the order in which they broke.
  std::vector<BrokenRun> runs;
  std::uint32_t breaks = 0;
  // Crashes of runs that followed each other. Upstreams that crash at the same
  // time seldom do so because of a request that ran at all of them.
  std::uint32_t crashes = 0;
  ToldCrashes told;
  // The record is that of a family and has only seen one query so far, so that
  // the record of the request with that query is the better one.
  bool has_one_query = false;
  base::TimePoint last_seen_at{};
  // Requests are refused until then because of their crashes, and when one was
  // last admitted nevertheless.
  base::TimePoint refused_until{};
  base::TimePoint admitted_at = base::TimePoint::max();
  // An upstream has served such a request at this time; what was known before
  // does not count.
  base::TimePoint cleared_at{};
  // Other daemons have been told of this record.
  bool is_shared = false;
};

// An upstream at which connections broke recently and which may have crashed.
struct CrashSuspicion {
  struct BrokenConnection {
    Fingerprint fingerprint;
    base::TimePoint broke_at{};
  };

  base::ServiceId service;
  std::string address;
  base::Incarnation incarnation;
  std::vector<BrokenConnection> broken_connections;
  // The upstream has responded since.
  bool has_responded = false;
  // A probe that shows whether the upstream has crashed; the next one is not
  // sent before `probe_not_before`.
  bool probe_running = false;
  base::TimePoint probe_not_before{};
};

// A dispatcher tells all daemons what it has counted for one fingerprint, so
// that each of them can take over. On the wire this is FleetCrashes.
struct CrashNotice {
  Fingerprint fingerprint;
  std::uint32_t crashes = 0;
  std::uint32_t suspected = 0;
  base::Duration since_last_break{};
  // Time for which such requests are still refused.
  base::Duration refused_for{};
  // An upstream has served such a request this long ago.
  bool is_cleared = false;
  base::Duration since_cleared{};
};

using CrashNotices = std::vector<CrashNotice>;

}  // namespace poplarfork::dispatch
