#include <boost/test/unit_test.hpp>

#include "fleet/answer_time_func.h"

namespace poplarfork::fleet {

namespace {

using std::chrono::milliseconds;

AnswerTime MakeAnswerTime(milliseconds answered_in) {
  AnswerTime answer_time;
  RecordAnswer(answer_time, answered_in, {});
  return answer_time;
}

}  // namespace

// Guards against silent connections that are noticed only after the whole time
// for which a slow store is waited for.
BOOST_AUTO_TEST_CASE(FastStoresAreNotWaitedForLong) {
  const AnswerTime answer_time = MakeAnswerTime(milliseconds(5));
  BOOST_TEST((AnswerTimeout(answer_time) <= milliseconds(300)));
}

// Guards against a slow store that is taken for lost connections again and
// again.
BOOST_AUTO_TEST_CASE(SlowStoresAreWaitedFor) {
  for (const int answered_in_ms : {200, 500, 1000, 1400}) {
    const AnswerTime answer_time = MakeAnswerTime(milliseconds(answered_in_ms));
    BOOST_TEST((AnswerTimeout(answer_time) > milliseconds(answered_in_ms)));
  }
  // A store whose speed is not known yet may be slow.
  BOOST_TEST((AnswerTimeout({}) == kMaxAnswerTime));
  // One that has become slow is waited for longer after the first call.
  AnswerTime slowed = MakeAnswerTime(milliseconds(5));
  RecordNoAnswer(slowed);
  BOOST_TEST((AnswerTimeout(slowed) >= milliseconds(1200)));
  RecordNoAnswer(slowed);
  BOOST_TEST((AnswerTimeout(slowed) == kMaxAnswerTime));
}

// Guards against a store that was slow for a moment and is waited for as long
// for good.
BOOST_AUTO_TEST_CASE(SlowAnswersAreForgotten) {
  AnswerTime answer_time = MakeAnswerTime(milliseconds(1000));
  for (int i = 0; i < 10; ++i)
    RecordAnswer(answer_time, milliseconds(5), {});
  BOOST_TEST((AnswerTimeout(answer_time) <= milliseconds(300)));
}

// Guards against the time for which the store holds a call open being taken for
// slowness.
BOOST_AUTO_TEST_CASE(WaitsOfTheStoreAreNoSlowness) {
  AnswerTime answer_time;
  RecordAnswer(answer_time, milliseconds(504), milliseconds(500));
  BOOST_TEST((answer_time.recent == milliseconds(4)));
  RecordAnswer(answer_time, milliseconds(20), milliseconds(500));
  BOOST_TEST((answer_time.recent <= milliseconds(4)));
}

}  // namespace poplarfork::fleet
