#pragma once

#include "base/result_type.h"
#include "note/configuration_type.h"
#include "note/release_note_type.h"

namespace poplarfork::note {

// Says whether applying a note changes the configuration. Both modes run the
// same code, so that they find the same problems.
enum class ApplyMode {
  // Reports all problems and changes nothing.
  kDryRun,
  // Changes the configuration if the note has no problem.
  kApply,
};

// Applies `note` to `configuration`. A problem has one of these codes:
// kDanglingReference (the note refers to an item that does not exist),
// kConflict (an added item exists already, or the note names an item twice) and
// kRefused (the note leaves a service below its floor). The error has the code
// of the first problem, and its detail lists all problems, one per line, each
// with line number and key. After an error, and in mode kDryRun, the
// configuration is unchanged. The function never changes the configuration's
// revision and hash.
//
// The slots that a service lists after the note must be at least its floor (the
// value after the note) times the slots that it listed before the note, and a
// service whose floor is above 0 must list an upstream. Withdrawing a service
// also withdraws its upstreams and routes.
base::Result<void> ApplyNote(Configuration& configuration,
                             const ReleaseNote& note,
                             ApplyMode mode);

// Reports the problems that ApplyNote would report, without changing or copying
// the configuration.
base::Result<void> CheckNote(const Configuration& configuration,
                             const ReleaseNote& note);

// Returns a copy of `configuration` with the note applied. The errors are those
// of ApplyNote.
base::Result<Configuration> ApplyNoteToCopy(const Configuration& configuration,
                                            const ReleaseNote& note);

}  // namespace poplarfork::note
