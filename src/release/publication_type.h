#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "base/time_type.h"
#include "log_entry.pb.h"
#include "note/release_note_type.h"
#include "release/publish_type.h"

namespace poplarfork::release {

enum class PublishPhase {
  // The publication waits until the ones before it have ended.
  kQueued,
  // Reads the log entries after the installed revision, before the first write.
  kReadHead,
  // Has sent a create-if-absent of the entry and waits for the store's reply.
  kCreate,
  // Reads the log again, because the revision was taken or a reply was lost.
  kReadBack,
  // Waits until `retry_at` after a call that got no reply.
  kBackoff,
  // The entry is in the log. Waits until two peers acknowledge it or
  // `replication_deadline` has passed.
  kReplicate,
};

// A request to publish a note that is queued or in progress.
struct Publication {
  PublishRequest request;
  note::ReleaseNote note;
  std::uint64_t text_hash = 0;
  PublishPhase phase = PublishPhase::kQueued;
  base::TimePoint deadline;
  base::TimePoint retry_at;
  std::uint32_t attempts = 0;
  // The store call whose reply the publication waits for.
  StoreCallId pending_call;
  // The entry that the last create sent.
  proto::LogEntry sent_entry;
  // The create of `sent_entry` got no reply, so it may take effect at any time
  // while no entry has its revision.
  bool create_in_doubt = false;
  // The store replied to the last create with a conflict. If the revision turns
  // out to be free, the entry before it is missing: the log was compacted
  // beyond the revision that this daemon has installed.
  bool create_conflicted = false;
  // The revision of the published entry; set in phase kReplicate.
  base::Revision revision;
  // The note was in the log before this request wrote anything.
  bool already_published = false;
  // The peers that acknowledged the entry.
  std::set<base::DaemonId> acked_peers;
  base::TimePoint replication_deadline;
};

}  // namespace poplarfork::release
