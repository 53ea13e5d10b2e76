#include <boost/test/unit_test.hpp>

#include "metrics/registry_func.h"

namespace poplarfork::metrics {

// Guards against a quantile that is taken from the wrong end of the
// distribution or is off by more than the width of one bin.
BOOST_AUTO_TEST_CASE(QuantileIsWithinOneBin) {
  Registry registry;
  for (int i = 0; i < 99; ++i)
    Observe(registry, "latency", base::Duration(1000));
  Observe(registry, "latency", base::Duration(500000));
  const LatencyHistogram& histogram = registry.latencies.at("latency");
  BOOST_TEST(Quantile(histogram, 0.5).count() >= 1000);
  BOOST_TEST(Quantile(histogram, 0.5).count() <= 1070);
  BOOST_TEST(Quantile(histogram, 0.999).count() >= 500000);
}

// Guards against observations outside the range of the histogram that are not
// counted or that give a quantile above the upper end of the range.
BOOST_AUTO_TEST_CASE(ObservationsOutsideTheRangeAreCounted) {
  Registry registry;
  Observe(registry, "latency", base::Duration(1));
  Observe(registry, "latency", std::chrono::hours(1));
  BOOST_TEST(Quantile(registry.latencies.at("latency"), 1.0).count() ==
             100000000);
  BOOST_TEST(FormatPrometheus(registry).find("latency_count 2") !=
             std::string::npos);
}

}  // namespace poplarfork::metrics
