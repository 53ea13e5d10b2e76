#include "base/error_func.h"

#include <array>
#include <utility>

namespace poplarfork::base {

namespace {

struct CodeText {
  ErrorCode code;
  const char* text;
};

constexpr std::array<CodeText, 14> kCodeTexts = {{
    {ErrorCode::kOk, "ok"},
    {ErrorCode::kMalformed, "malformed"},
    {ErrorCode::kUnknownKey, "unknown key"},
    {ErrorCode::kWrongType, "wrong type"},
    {ErrorCode::kOutOfRange, "out of range"},
    {ErrorCode::kDanglingReference, "reference to something not defined"},
    {ErrorCode::kMissing, "missing"},
    {ErrorCode::kTooLarge, "too large"},
    {ErrorCode::kConflict, "conflict"},
    {ErrorCode::kUnavailable, "unavailable"},
    {ErrorCode::kTimeout, "timeout"},
    {ErrorCode::kRefused, "refused"},
    {ErrorCode::kIncomplete, "incomplete"},
    {ErrorCode::kUnsupported, "unsupported"},
}};

struct StepText {
  Step step;
  const char* text;
};

constexpr std::array<StepText, 19> kStepTexts = {{
    {Step::kLoadSettings, "load_settings"},
    {Step::kParseNote, "parse_note"},
    {Step::kApplyNote, "apply_note"},
    {Step::kPublishNote, "publish_note"},
    {Step::kInstallNote, "install_note"},
    {Step::kStoreCall, "store_call"},
    {Step::kVmListCall, "vm_list_call"},
    {Step::kPeerDecode, "peer_decode"},
    {Step::kPeerSend, "peer_send"},
    {Step::kCallerRead, "caller_read"},
    {Step::kCallerWrite, "caller_write"},
    {Step::kRoute, "route"},
    {Step::kAdmit, "admit"},
    {Step::kClaim, "claim"},
    {Step::kUpstreamConnect, "upstream_connect"},
    {Step::kUpstreamSend, "upstream_send"},
    {Step::kUpstreamReceive, "upstream_receive"},
    {Step::kReplay, "replay"},
    {Step::kCommandLine, "command_line"},
}};

class PoplarforkCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "poplarfork"; }

  std::string message(int value) const override {
    for (const CodeText& entry : kCodeTexts) {
      if (static_cast<int>(entry.code) == value)
        return entry.text;
    }
    return "unknown error " + std::to_string(value);
  }
};

}  // namespace

std::error_code make_error_code(ErrorCode code) {
  static const PoplarforkCategory category;
  return {static_cast<int>(code), category};
}

const char* StepName(Step step) {
  for (const StepText& entry : kStepTexts) {
    if (entry.step == step)
      return entry.text;
  }
  return "unknown_step";
}

Error MakeError(ErrorCode code,
                Step step,
                std::string peer,
                std::string detail) {
  return Error{make_error_code(code), step, std::move(peer), std::move(detail)};
}

std::string ToString(const Error& error) {
  std::string line = StepName(error.step);
  if (!error.peer.empty())
    line += " " + error.peer;
  line += ": " + error.code.message();
  if (!error.detail.empty())
    line += ": " + error.detail;
  return line;
}

}  // namespace poplarfork::base
