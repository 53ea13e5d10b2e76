#pragma once

#include <system_error>

namespace poplarfork::base {

// Error conditions that Poplarfork's own code reports. Failures of the
// operating system and of libraries keep their own std::error_category.
enum class ErrorCode {
  kOk = 0,
  kMalformed,
  kUnknownKey,
  kWrongType,
  kOutOfRange,
  kDanglingReference,
  kMissing,
  kTooLarge,
  kConflict,
  kUnavailable,
  kTimeout,
  kRefused,
  kIncomplete,
  kUnsupported,
};

std::error_code make_error_code(ErrorCode code);

}  // namespace poplarfork::base

template <>
struct std::is_error_code_enum<poplarfork::base::ErrorCode> : std::true_type {};
