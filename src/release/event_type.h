#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "release/member_type.h"
#include "release/message_type.h"
#include "release/publish_type.h"
#include "release/store_reply_type.h"

namespace poplarfork::release {

// Event: the daemon starts. It is the first event that a new state receives.
struct Started {};

// Event: time has passed. The driver sends it at least every 100 ms.
struct Tick {};

// Event: the process was paused for more than 6 s. The daemon is not ready for
// new work until it has installed the entries that it missed, or until
// `ReleaseSettings::resume_timeout` has passed while the store does not reply.
struct Resumed {};

// Event: the set of live daemons changed.
struct MembersChanged {
  // All daemons that are alive and not leaving, except this one.
  std::vector<Member> members;
};

// Event: the platform's VM list was read. Both counts exclude this VM, VMs that
// are leaving and VMs of upstreams.
struct VmListUpdated {
  std::uint32_t live_vms = 0;
  std::uint32_t data_centres = 0;
};

// Event: a probe or an acknowledgement from `peer` stated the revision that
// the peer has installed.
struct PeerRevision {
  base::DaemonId peer;
  base::Revision revision;
};

using Event = std::variant<Started,
                           Tick,
                           Resumed,
                           MembersChanged,
                           VmListUpdated,
                           PeerRevision,
                           IncomingMessage,
                           StoreReply,
                           PublishRequest>;

}  // namespace poplarfork::release
