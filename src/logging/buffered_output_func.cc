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
constexpr std::size_t kChunkBytes = 4096;

// At the end of the process, the buffer is flushed in at most this many rounds,
// with a wait of kExitWaitMs for the reader after each round.
constexpr int kExitRounds = 5;
constexpr int kExitWaitMs = 10;

struct Output {
  std::string identity;
  std::string buffer;
  std::size_t written = 0;
  std::uint64_t dropped = 0;
};

Output& TheOutput() {
  static Output output;
  return output;
}

// Appends log lines to the buffer. Drops and counts them if the buffer is full.
class BufferedDispatch : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) noexcept override {
    Output& output = TheOutput();
    const el::base::type::string_t& line = data->logMessage()->message();
    if (output.buffer.size() - output.written + line.size() >
        kMaxBufferedBytes) {
      ++output.dropped;
      return;
    }
    output.buffer.append(line);
    output.buffer.push_back('\n');
  }
};

bool IsWritable(int timeout_ms) {
  pollfd descriptor{STDOUT_FILENO, POLLOUT, 0};
  return ::poll(&descriptor, 1, timeout_ms) == 1 &&
         (descriptor.revents & POLLOUT) != 0;
}

}  // namespace

void StartBufferedOutput(std::string_view identity) {
  TheOutput().identity = std::string(identity);
  el::Helpers::uninstallLogDispatchCallback<
      el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<BufferedDispatch>("BufferedDispatch");
}

std::string_view OutputIdentity() {
  return TheOutput().identity;
}

bool FlushOutput() {
  Output& output = TheOutput();
  while (output.written < output.buffer.size() && IsWritable(0)) {
    const std::size_t size =
        std::min(kChunkBytes, output.buffer.size() - output.written);
    const ssize_t done =
        ::write(STDOUT_FILENO, output.buffer.data() + output.written, size);
    if (done <= 0)
      break;
    output.written += static_cast<std::size_t>(done);
  }
  if (output.written == output.buffer.size()) {
    output.buffer.clear();
    output.written = 0;
    return false;
  }
  if (output.written > kMaxBufferedBytes / 2) {
    output.buffer.erase(0, output.written);
    output.written = 0;
  }
  return true;
}

void FlushOutputAtExit() {
  for (int round = 0; round < kExitRounds && FlushOutput(); ++round)
    IsWritable(kExitWaitMs);
}

std::uint64_t DroppedLines() {
  return TheOutput().dropped;
}

}  // namespace poplarfork::logging
