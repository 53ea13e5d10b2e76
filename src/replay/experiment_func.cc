#include "replay/experiment_func.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <ostream>
#include <vector>

#include "health/baseline_func.h"
#include "health/cusum_func.h"
#include "replay/fault_func.h"
#include "replay/measurement_type.h"
#include "replay/run_func.h"
#include "replay/workload_func.h"

namespace poplarfork::replay {

namespace {

constexpr std::size_t kMethods = 3;
// The index of the detector that the daemons use; the others are baselines.
constexpr std::size_t kPolicy = 0;

using Measurements = std::array<Measurement, kMethods>;

std::array<health::Detector, kMethods> Methods() {
  return {health::CusumDetector(), health::ConsecutiveFailuresDetector(),
          health::SuccessRateDetector()};
}

void Add(const Measurement& part, Measurement& sum) {
  sum.detections.insert(sum.detections.end(), part.detections.begin(),
                        part.detections.end());
  sum.missed += part.missed;
  sum.false_ejections += part.false_ejections;
  sum.upstream_hours += part.upstream_hours;
  sum.floor_violations += part.floor_violations;
  sum.fleet_ejections += part.fleet_ejections;
  sum.false_fleet_ejections += part.false_fleet_ejections;
  sum.reports_sent += part.reports_sent;
  sum.store_calls += part.store_calls;
  sum.daemon_seconds += part.daemon_seconds;
}

// Returns the quantile in seconds, or -1 if there are no values because no
// fault was to be detected.
double Quantile(std::vector<base::Duration> values, double share) {
  if (values.empty())
    return -1;
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  const auto position = static_cast<std::size_t>(std::lround(share * last));
  return std::chrono::duration<double>(values[position]).count();
}

double FalsePerThousandHours(const Measurement& measurement) {
  if (measurement.upstream_hours <= 0)
    return 0;
  return 1000.0 * static_cast<double>(measurement.false_ejections) /
         measurement.upstream_hours;
}

void PrintHeader(const Workload& workload,
                 const ExperimentOptions& options,
                 std::ostream& out) {
  out << "\n"
      << workload.name << ": " << workload.service.upstreams.size()
      << " upstreams, " << workload.daemons.size() << " daemons, "
      << workload.rate << " requests/s, seeds " << options.seed << " to "
      << options.seed + options.repeats - 1 << "\n"
      << std::left << std::setw(22) << "fault" << std::setw(21) << "method"
      << std::right << std::setw(9) << "median s" << std::setw(8) << "p99 s"
      << std::setw(8) << "missed" << std::setw(12) << "false/1000h"
      << std::setw(7) << "floor" << std::setw(7) << "fleet" << std::setw(12)
      << "fleet false"
      << "\n";
}

void PrintLine(std::string_view fault,
               const char* method,
               const Measurement& measurement,
               std::ostream& out) {
  out << std::left << std::setw(22) << fault << std::setw(21) << method
      << std::right << std::fixed << std::setprecision(2) << std::setw(9)
      << Quantile(measurement.detections, 0.5) << std::setw(8)
      << Quantile(measurement.detections, 0.99) << std::setw(8)
      << measurement.missed << std::setw(12)
      << FalsePerThousandHours(measurement) << std::setw(7)
      << measurement.floor_violations << std::setw(7)
      << measurement.fleet_ejections << std::setw(12)
      << measurement.false_fleet_ejections << "\n"
      << std::defaultfloat;
}

Measurements RunFault(const Workload& workload,
                      FaultKind fault,
                      const ExperimentOptions& options) {
  Measurements sums;
  const auto methods = Methods();
  for (std::uint32_t i = 0; i < options.repeats; ++i) {
    for (std::size_t method = 0; method < kMethods; ++method) {
      RunPlan plan;
      plan.workload = workload;
      plan.detector = methods[method];
      plan.fault = fault;
      plan.seed = options.seed + i;
      Add(Run(plan, nullptr), sums[method]);
    }
  }
  return sums;
}

// Prints whether a target is met and returns `is_met`.
bool Check(const char* what, bool met, std::ostream& out) {
  out << (met ? "met:    " : "missed: ") << what << "\n";
  return met;
}

// The best values among the baselines. Detection time and false ejections may
// come from different baselines: for each, the better one counts.
struct Marks {
  double detection = 0;
  double false_ejections = 0;
};

Marks BetterBaseline(const Measurements& sums) {
  Marks marks;
  marks.detection = std::min(Quantile(sums[1].detections, 0.5),
                             Quantile(sums[2].detections, 0.5));
  marks.false_ejections =
      std::min(FalsePerThousandHours(sums[1]), FalsePerThousandHours(sums[2]));
  return marks;
}

// Compares the CUSUM detector with the baselines. The targets depend on the
// detection policy of the service: fast detection must take at most half the
// baselines' time without more false ejections, sure ejection must have at most
// a tenth of their false ejections without being later.
bool CheckPolicy(const Workload& workload,
                 const Measurements& sums,
                 std::ostream& out) {
  const Marks marks = BetterBaseline(sums);
  const double detection = Quantile(sums[kPolicy].detections, 0.5);
  const double false_ejections = FalsePerThousandHours(sums[kPolicy]);
  const bool fast = workload.service.policy.detection ==
                    note::DetectionPolicy::kDetectionFast;
  bool met = true;
  if (fast) {
    met &= Check("detection at most half of the better baseline's",
                 detection * 2 <= marks.detection, out);
    met &= Check("false ejections not above the better baseline's",
                 false_ejections <= marks.false_ejections, out);
  } else {
    met &= Check("false ejections at most a tenth of the better baseline's",
                 false_ejections * 10 <= marks.false_ejections, out);
    met &= Check("detection not later than the better baseline's",
                 detection <= marks.detection, out);
  }
  met &= Check("no floor violation", sums[kPolicy].floor_violations == 0, out);
  return met;
}

bool RunWorkload(const Workload& workload,
                 const ExperimentOptions& options,
                 std::ostream& out) {
  PrintHeader(workload, options, out);
  const auto methods = Methods();
  Measurements sums;
  bool met = true;
  std::uint64_t wrong_fleet_ejections = 0;
  for (const FaultKind fault : AllFaults()) {
    if (options.fault != "all" && options.fault != NameOf(fault))
      continue;
    const Measurements measured = RunFault(workload, fault, options);
    for (std::size_t method = 0; method < kMethods; ++method) {
      PrintLine(NameOf(fault), methods[method].name, measured[method], out);
      Measurement counted = measured[method];
      // The floor keeps a daemon from removing all upstreams behind a
      // partition, so these detection times would not be comparable with those
      // of faulty upstreams.
      if (fault == FaultKind::kOneWayPartition)
        counted.detections.clear();
      Add(counted, sums[method]);
    }
    if (fault == FaultKind::kOneWayPartition ||
        fault == FaultKind::kPausedObserver)
      wrong_fleet_ejections += measured[kPolicy].fleet_ejections;
  }
  for (std::size_t method = 0; method < kMethods; ++method)
    PrintLine("all", methods[method].name, sums[method], out);
  const Measurement& policy = sums[kPolicy];
  out << "reports per daemon and second: "
      << static_cast<double>(policy.reports_sent) / policy.daemon_seconds
      << ", store calls: " << policy.store_calls << "\n";
  met &= CheckPolicy(workload, sums, out);
  met &= Check("no fleet-wide ejection by a partition or a paused observer",
               wrong_fleet_ejections == 0, out);
  return met;
}

}  // namespace

bool RunExperiment(const ExperimentOptions& options, std::ostream& out) {
  bool met = true;
  if (options.workload != "kristalni")
    met &= RunWorkload(SnorfiksWorkload(options.rate), options, out);
  if (options.workload != "snorfiks")
    met &= RunWorkload(KristalniWorkload(options.rate), options, out);
  return met;
}

}  // namespace poplarfork::replay
