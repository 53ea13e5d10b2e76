#include "base/memory_budget_func.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <utility>

#include "base/byte_charge.h"

namespace poplarfork::base {

BOOST_AUTO_TEST_SUITE(MemoryBudgetSuite)

// Load pattern: slow callers hold more and more responses. Guards against new
// requests that take the memory which the responses to earlier ones need.
BOOST_AUTO_TEST_CASE(RequestsAreRefusedBeforeResponses) {
  const MemoryBudget budget = MakeMemoryBudget(160);
  BOOST_TEST(MayTakeRequest(budget, 60, 0));
  BOOST_TEST(!MayTakeRequest(budget, 61, 0));
  BOOST_TEST(!MayTakeRequest(budget, 50, 11));
  BOOST_TEST(MayBufferResponse(budget, 61, 19));
  BOOST_TEST(!MayBufferResponse(budget, 61, 20));
}

// Guards against a gateway without a limit that refuses requests.
BOOST_AUTO_TEST_CASE(NothingIsRefusedWithoutLimit) {
  const MemoryBudget budget = MakeMemoryBudget(0);
  BOOST_TEST(MayTakeRequest(budget, 1ULL << 40, 1));
  BOOST_TEST(MayBufferResponse(budget, 1ULL << 40, 1));
}

// Guards against bytes that stay counted after their buffer is gone, or that
// are counted twice after a move.
BOOST_AUTO_TEST_CASE(ChargesAreCountedOnce) {
  const auto total = std::make_shared<ByteCounter>();
  const auto part = std::make_shared<ByteCounter>();
  part->parent = total;
  {
    ByteCharge first(part, 10);
    ByteCharge second(total, 5);
    BOOST_TEST(part->bytes == 10U);
    BOOST_TEST(total->bytes == 15U);
    ByteCharge moved(std::move(first));
    moved.Resize(4);
    BOOST_TEST(total->bytes == 9U);
    second = std::move(moved);
    BOOST_TEST(part->bytes == 4U);
    BOOST_TEST(total->bytes == 4U);
  }
  BOOST_TEST(part->bytes == 0U);
  BOOST_TEST(total->bytes == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarfork::base
