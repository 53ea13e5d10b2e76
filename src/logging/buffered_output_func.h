#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace poplarfork::logging {

// Bytes that are buffered for a slow reader of standard output. Lines beyond
// this limit are dropped.
inline constexpr std::size_t kMaxBufferedBytes = 512 * 1024;

// Makes easylogging++ collect lines in memory instead of writing each line to
// standard output. `identity` is the member `daemon` of every line of this
// process.
void StartBufferedOutput(std::string_view identity);

// Returns the identity that was passed to StartBufferedOutput().
std::string_view GetOutputIdentity();

// Writes as much as standard output takes without blocking. Returns whether
// bytes remain in the buffer.
bool FlushOutput();

// Writes until the buffer is empty, but only for a short time (about 50 ms).
// Called before the process exits.
void FlushOutputAtExit();

// Returns the number of lines that were dropped because standard output was not
// read fast enough.
std::uint64_t CountDroppedLines();

}  // namespace poplarfork::logging
