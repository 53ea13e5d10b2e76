#pragma once

#include <string>
#include <variant>
#include <vector>

#include "base/ids_type.h"
#include "release/message_type.h"
#include "release/publish_type.h"
#include "release/store_call_type.h"

namespace poplarfork::release {

// Action: put the configuration in the state into force; its revision is new.
struct RevisionInstalled {
  base::Revision revision;
  // Id of the note that made the revision. It is empty if the revision was
  // installed from a snapshot.
  base::NoteId note_id;
  // False if the entry left the configuration's items unchanged, because its
  // note does not apply or the note's id was used before. Only the revision and
  // the hash then changed.
  bool has_effect = true;
};

// Action: report that an entry was refused because it conflicts with the
// installed log: it differs from the installed entry of the same revision, or
// its predecessor hash does not match.
struct ForkRefused {
  base::Revision revision;
  base::NoteId note_id;
  // The peer that sent the entry; empty if it was read from the store.
  base::DaemonId peer;
};

// Action: start or stop routing new work.
struct ReadinessChanged {
  bool ready = false;
};

using Action = std::variant<StoreCall,
                            OutgoingMessage,
                            PublishResult,
                            RevisionInstalled,
                            ForkRefused,
                            ReadinessChanged>;

using Actions = std::vector<Action>;

}  // namespace poplarfork::release
