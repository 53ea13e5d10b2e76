#pragma once

#include <string>
#include <system_error>

namespace poplarfork::base {

// The step of processing in which an error occurred.
enum class Step {
  kLoadSettings,
  kParseNote,
  kApplyNote,
  kPublishNote,
  kInstallNote,
  kStoreCall,
  kVmListCall,
  kPeerDecode,
  kPeerSend,
  kCallerRead,
  kCallerWrite,
  kRoute,
  kAdmit,
  kClaim,
  kUpstreamConnect,
  kUpstreamSend,
  kUpstreamReceive,
  kReplay,
  kCommandLine,
};

// An error together with the place where it occurred.
struct Error {
  std::error_code code;
  Step step = Step::kCommandLine;
  // Address, file or key that the failed step was working with; may be empty.
  std::string peer;
  // Explanation for people. For invalid input it also says what is accepted.
  std::string detail;
};

}  // namespace poplarfork::base
