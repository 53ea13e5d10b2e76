#pragma once

namespace poplarfork::cli {

// The exit codes of the program `poplarfork`.
enum class ExitCode {
  // The note was accepted, or the command succeeded.
  kOk = 0,
  kRejected = 1,
  kUsageError = 2,
  // It is unknown whether the note was accepted, so it may be in force now or
  // later.
  kUnknownOutcome = 3,
  kDaemonNotReachable = 4,
};

}  // namespace poplarfork::cli
