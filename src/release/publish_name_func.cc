#include "release/publish_name_func.h"

namespace poplarfork::release {

const char* OutcomeName(PublishOutcome outcome) {
  switch (outcome) {
    case PublishOutcome::kAccepted:
      return "accepted";
    case PublishOutcome::kRejected:
      return "rejected";
    case PublishOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace poplarfork::release
