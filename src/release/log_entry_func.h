#pragma once

#include "log_entry.pb.h"
#include "release/context_type.h"
#include "release/install_type.h"
#include "release/store_reply_type.h"

namespace poplarfork::release {

// States where an entry came from and whether it is forwarded to peers.
struct EntrySource {
  // The peer that sent the entry. It is empty if the entry was read from the
  // store or published by this daemon.
  base::DaemonId peer;
  // New entries are forwarded to peers. Entries that are read while the daemon
  // brings itself up to date are not, since the peers have them already.
  bool forward = true;
};

// Installs `entry`. If it is new, reports it, forwards it to random peers if
// `source.forward` is set, and starts a snapshot if one is due. An entry that
// conflicts with the installed log is reported as a refused fork.
InstallOutcome InstallAndForwardEntry(Context& context,
                                      const proto::LogEntry& entry,
                                      const EntrySource& source);

// Installs, in order, the entries that a read of the log returned. Stops and
// returns false at an entry that is malformed, leaves a gap or conflicts with
// the installed log.
bool InstallStoreItems(Context& context,
                       const std::vector<StoreItem>& items,
                       bool forward);

// Sends an entry to a peer; with `want_ack` the peer acknowledges that it has
// installed the entry.
void SendEntry(Context& context,
               const base::DaemonId& peer,
               const proto::LogEntry& entry,
               bool want_ack);

// Returns the number of the installed revision.
std::uint64_t InstalledRevisionNumber(const ReleaseState& state);

// Returns a call that reads the log in the store, starting at the first entry
// that is not installed.
StoreCall MakeReadLogCall(const ReleaseState& state);

}  // namespace poplarfork::release
