#include "logging/log_func.h"

#include <easylogging++.h>

#include <chrono>
#include <string>
#include <utility>

namespace poplarfork::logging {

namespace {

std::string& LogIdentity() {
  static std::string identity;
  return identity;
}

std::int64_t UnixTimeMicroseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

}  // namespace

void StartLogging(std::string_view identity) {
  LogIdentity() = std::string(identity);
  el::Configurations configurations;
  configurations.setToDefault();
  configurations.setGlobally(el::ConfigurationType::Format, "%msg");
  configurations.setGlobally(el::ConfigurationType::ToFile, "false");
  configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureLogger("default", configurations);
}

std::string WriteLogLine(std::string_view event, web::json::value fields) {
  fields["unix_us"] = web::json::value::number(UnixTimeMicroseconds());
  fields["identity"] = web::json::value::string(LogIdentity());
  fields["event"] = web::json::value::string(std::string(event));
  std::string line = fields.serialize();
  LOG(INFO) << line;
  return line;
}

}  // namespace poplarfork::logging
