#pragma once

#include "fleet/answer_time_type.h"

namespace poplarfork::fleet {

// Longest time to wait for an answer of the store, beyond the time for which
// the store holds the call open. A slow store responds within several hundred
// milliseconds.
inline constexpr base::Duration kMaxAnswerTime =
    std::chrono::milliseconds(1500);

// Records an answer to a call that the store was allowed to hold open for
// `max_wait` and that took `elapsed`.
void RecordAnswer(AnswerTime& answer_time,
                  base::Duration elapsed,
                  base::Duration max_wait);

void RecordNoAnswer(AnswerTime& answer_time);

// Returns the time after which a connection without an answer is given up. It
// grows with each call without an answer, so that a store that has become slow
// is not taken for lost connections.
base::Duration AnswerTimeout(const AnswerTime& answer_time);

}  // namespace poplarfork::fleet
