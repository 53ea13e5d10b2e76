#include <boost/test/unit_test.hpp>

#include "base/error_func.h"
#include "base/result_type.h"

namespace poplarfork::base {

namespace {

Result<int> MakeTimeoutError() {
  return MakeError(ErrorCode::kTimeout, Step::kStoreCall, "10.0.0.1:2379",
                   "no answer within 500 ms");
}

}  // namespace

// Guards against an error that loses its step or its peer when it is returned
// through a Result and formatted.
BOOST_AUTO_TEST_CASE(ErrorNamesStepAndPeer) {
  const Result<int> result = MakeTimeoutError();
  BOOST_REQUIRE(!result.has_value());
  BOOST_TEST(ToString(result.error()) ==
             "store_call 10.0.0.1:2379: timeout: no answer within 500 ms");
}

}  // namespace poplarfork::base
