#pragma once

#include "base/strong_id_type.h"

namespace poplarfork::base {

// Name of a service as written in release notes.
using ServiceId = NameId<struct ServiceTag>;

// Name of an upstream, unique within the configuration.
using UpstreamId = NameId<struct UpstreamTag>;

// Name of a data centre.
using DataCentreId = NameId<struct DataCentreTag>;

// Name of the client account that a caller's requests belong to.
using AccountId = NameId<struct AccountTag>;

// Identity of a daemon: the "IP:port" of its peer socket.
using DaemonId = NameId<struct DaemonTag>;

// Distinguishes successive runs of a daemon at the same address. A later run
// has a larger number.
using Incarnation = NumberId<struct IncarnationTag>;

// Number of a release note in the store's revision log. The first note has
// number 1; 0 means that no note is installed.
using Revision = NumberId<struct RevisionTag>;

// Identity that an operator assigns to a release note. It makes publishing
// idempotent: publishing the same note again has no further effect.
using NoteId = NameId<struct NoteTag>;

// Identifies one request of a caller within the fleet; used in logs.
using RequestId = NameId<struct RequestTag>;

}  // namespace poplarfork::base
