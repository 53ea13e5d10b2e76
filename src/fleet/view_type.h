#pragma once

#include <map>
#include <set>

#include "fleet/member_type.h"
#include "fleet/upstream_entry_type.h"

namespace poplarfork::fleet {

// What this daemon knows about the upstreams and the other daemons.
struct View {
  base::DaemonId self;
  std::map<base::UpstreamId, UpstreamRecord> upstreams;
  std::map<base::DaemonId, MemberRecord> members;
  // All changes up to this revision are known.
  StoreRevision as_of;
  // Revisions before this one belong to earlier eras of the store; zero in the
  // first era.
  StoreRevision era_start;
  // Removals before this revision have been forgotten. Daemons whose `as_of` is
  // older need the complete list.
  StoreRevision removals_known_since;
  // Members that each reader of the store reports as unreachable, draining or
  // not ready, by the reader's id.
  struct UnavailableReport {
    std::set<base::DaemonId> members;
    base::TimePoint received_at{};
  };
  std::map<base::DaemonId, UnavailableReport> unavailable_reports;
};

}  // namespace poplarfork::fleet
