#include "logging/buffered_output_func.h"

#include <easylogging++.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <string>

namespace poplarfork::logging {

namespace {

// A pipe that poll() reports as writable takes this many bytes without
// blocking.
constexpr std::size_t kPipeChunkBytes = 4096;

// At the end of the process, the buffer is flushed in at most this many rounds,
// with a wait of kExitWaitMs for the reader after each round.
constexpr int kExitFlushRounds = 5;
constexpr int kExitWaitMs = 10;

struct Output {
  std::string identity;
  std::string buffer;
  std::size_t written_bytes = 0;
  std::uint64_t dropped_lines = 0;
};

Output& GetOutput() {
  static Output output;
  return output;
}

// Appends log lines to the buffer. Drops and counts them if the buffer is full.
class BufferedDispatch : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) noexcept override {
    Output& output = GetOutput();
    const el::base::type::string_t& line = data->logMessage()->message();
    if (output.buffer.size() - output.written_bytes + line.size() >
        kMaxBufferedBytes) {
      ++output.dropped_lines;
      return;
    }
    output.buffer.append(line);
    output.buffer.push_back('\n');
  }
};

bool IsWritable(int timeout_ms) {
  pollfd poll_descriptor{STDOUT_FILENO, POLLOUT, 0};
  return ::poll(&poll_descriptor, 1, timeout_ms) == 1 &&
         (poll_descriptor.revents & POLLOUT) != 0;
}

}  // namespace

void StartBufferedOutput(std::string_view identity) {
  GetOutput().identity = std::string(identity);
  el::Helpers::uninstallLogDispatchCallback<
      el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<BufferedDispatch>("BufferedDispatch");
}

std::string_view GetOutputIdentity() {
  return GetOutput().identity;
}

bool FlushOutput() {
  Output& output = GetOutput();
  while (output.written_bytes < output.buffer.size() && IsWritable(0)) {
    const std::size_t chunk_bytes =
        std::min(kPipeChunkBytes, output.buffer.size() - output.written_bytes);
    const ssize_t chunk_written_bytes =
        ::write(STDOUT_FILENO, output.buffer.data() + output.written_bytes,
                chunk_bytes);
    if (chunk_written_bytes <= 0)
      break;
    output.written_bytes += static_cast<std::size_t>(chunk_written_bytes);
  }
  if (output.written_bytes == output.buffer.size()) {
    output.buffer.clear();
    output.written_bytes = 0;
    return false;
  }
  if (output.written_bytes > kMaxBufferedBytes / 2) {
    output.buffer.erase(0, output.written_bytes);
    output.written_bytes = 0;
  }
  return true;
}

void FlushOutputAtExit() {
  for (int round = 0; round < kExitFlushRounds && FlushOutput(); ++round)
    IsWritable(kExitWaitMs);
}

std::uint64_t CountDroppedLines() {
  return GetOutput().dropped_lines;
}

}  // namespace poplarfork::logging
