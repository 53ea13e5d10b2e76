#include "fleet/answer_time_func.h"

#include <algorithm>

namespace poplarfork::fleet {

namespace {

// Shortest time after which a connection is given up. The store answers within
// a few milliseconds; a lost packet is sent again after about 200 ms.
constexpr base::Duration kMinAnswerTimeout = std::chrono::milliseconds(300);

// Multiple of the slowest recent answer that is still waited for.
constexpr int kSlowdownAllowance = 3;

// Factor by which the time grows with each call without an answer.
constexpr int kGrowthPerLoss = 4;
constexpr std::uint32_t kMaxLossesCounted = 2;

}  // namespace

void RecordAnswer(AnswerTime& answer_time,
                  base::Duration elapsed,
                  base::Duration max_wait) {
  const base::Duration answered_in =
      std::max(elapsed - max_wait, base::Duration(0));
  answer_time.recent =
      std::max(answered_in, answer_time.recent - answer_time.recent / 4);
  answer_time.is_known = true;
  answer_time.unanswered = 0;
}

void RecordNoAnswer(AnswerTime& answer_time) {
  ++answer_time.unanswered;
}

base::Duration AnswerTimeout(const AnswerTime& answer_time) {
  if (!answer_time.is_known)
    return kMaxAnswerTime;
  base::Duration timeout =
      std::max(kMinAnswerTimeout, answer_time.recent * kSlowdownAllowance);
  const std::uint32_t losses =
      std::min(answer_time.unanswered, kMaxLossesCounted);
  for (std::uint32_t i = 0; i < losses; ++i)
    timeout *= kGrowthPerLoss;
  return std::min(timeout, kMaxAnswerTime);
}

}  // namespace poplarfork::fleet
