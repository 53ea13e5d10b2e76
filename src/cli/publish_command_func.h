#pragma once

#include "base/result_type.h"
#include "cli/command_func.h"
#include "cli/note_file_type.h"

namespace poplarfork::cli {

// Reads and parses the release note in the file that the options name. Fails
// with kMissing if the file cannot be read, and with the errors of
// `note::ParseReleaseNote`.
base::Result<NoteFile> ReadNoteFile(const Options& options,
                                    const Environment& environment);

// Returns the result for a note that is rejected before it is sent, with one
// line per error that names the file, the line and the key.
CommandResult MakeNoteErrorResult(const Options& options,
                                  const base::Error& error);

// Returns the result for a daemon that did not respond.
CommandResult MakeNotReachableResult(const Options& options,
                                     const AdminResponse& response);

// Returns the result for a response that the program does not understand.
CommandResult MakeUnexpectedResponseResult(const Options& options,
                                           const AdminResponse& response);

// Publishes the release note in the file. It is sent only if it parses.
CommandResult RunPublish(const Options& options,
                         const Environment& environment);

}  // namespace poplarfork::cli
