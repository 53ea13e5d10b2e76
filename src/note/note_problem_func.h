#pragma once

#include <string>

#include "base/error_type.h"
#include "note/note_problem_type.h"
#include "note/note_source_type.h"

namespace poplarfork::note {

// Returns the problem as one line, for example
// "line 3: add.services[0].floor: out of range: ...".
std::string ToString(const NoteProblem& problem);

// Returns one error for all problems. Its code is that of the first problem,
// its detail lists all problems, one per line, and its peer is the file name.
// `problems` must not be empty.
base::Error JoinProblems(const NoteProblems& problems,
                         base::Step step,
                         const std::string& file_name);

// Returns the line of `key`, or else the line of the innermost entry that
// contains it. Returns 0 if neither is known.
int FindLine(const NoteSource& source, const std::string& key);

}  // namespace poplarfork::note
