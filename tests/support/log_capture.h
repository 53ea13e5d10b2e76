#pragma once

#include <easylogging++.h>

#include <string>

namespace poplarfork::support {

// Collects all log lines that are written while it exists.
class LogCapture {
 public:
  LogCapture() {
    Lines().clear();
    el::Helpers::installLogDispatchCallback<Dispatch>(kName);
  }
  ~LogCapture() { el::Helpers::uninstallLogDispatchCallback<Dispatch>(kName); }
  LogCapture(const LogCapture&) = delete;
  LogCapture& operator=(const LogCapture&) = delete;

  // Returns the lines so far.
  const std::string& Text() const { return Lines(); }

 private:
  class Dispatch : public el::LogDispatchCallback {
   protected:
    void handle(const el::LogDispatchData* data) noexcept override {
      Lines() += data->logMessage()->message();
      Lines() += '\n';
    }
  };

  static std::string& Lines() {
    static std::string lines;
    return lines;
  }

  static constexpr const char* kName = "LogCapture";
};

}  // namespace poplarfork::support
