#pragma once

#include <cstdint>
#include <vector>

#include "base/ids_type.h"
#include "base/time_type.h"
#include "health/ledger_type.h"
#include "health/report_type.h"

namespace poplarfork::health {

// Kind of an action that the daemon must carry out or log.
enum class ActionKind {
  // This daemon sends no new requests to the upstream. The set of routable
  // upstreams changed.
  kAvoid,
  // The upstream is on trial and takes one request at a time. The set of
  // routable upstreams changed.
  kStartTrial,
  // The weight of the upstream rises to its full share over the ramp. The set
  // of routable upstreams changed.
  kStartRamp,
  // The upstream is fully in service again. The set of routable upstreams
  // changed.
  kRestore,
  // This daemon applies an ejection from the ledger. The set of routable
  // upstreams changed.
  kApplyEjection,
  // The upstream started or stopped draining. The set of routable upstreams
  // changed.
  kDrain,
  // The upstream is avoided or ejected, but stays in service because the
  // service would otherwise fall below its floor.
  kKeepForFloor,
  // The daemon must close the pooled connections to the upstream and open new
  // ones.
  kCloseConnections,
  // The daemon must probe the upstream on a new connection and then deliver a
  // `ProbeFinished` event.
  kProbe,
  // The daemon must refuse requests with `fingerprint`. It sends no message to
  // other daemons.
  kRefuseFingerprint,
  // The daemon must refuse requests with `fingerprint` and announce the
  // fingerprint to the fleet at once.
  kAnnounceFingerprint,
  // Requests with `fingerprint` are accepted again.
  kAcceptFingerprint,
  // Evidence was discarded. This action is only logged.
  kDiscardEvidence,
  // Most upstreams of the service are slow or failing at the same time, so the
  // daemon must shed load and limit concurrency.
  kShedLoad,
  // The condition that caused `kShedLoad` is over.
  kEndShedLoad,
  // The daemon must send `report` to the daemon `peer`.
  kSendReport,
  // The daemon must read the service's ledger from the store and then deliver a
  // `LedgerReceived` event.
  kReadLedger,
  // The daemon must write `ledger` to the store by compare-and-swap on its
  // version (version 0 creates the key) and then deliver a
  // `LedgerWriteFinished` event.
  kWriteLedger,
  // The daemon must send `ledger` to all members of the group.
  kSendLedger,
  // The coordinator considered a fleet-wide ejection and declined it. This
  // action is only logged.
  kDeclineEjection,
};

// Why an action was taken.
enum class Reason {
  kNone,
  kFailures,
  kLatency,
  kConsecutiveFailures,
  kSuccessRateDeviation,
  kConnectionSilent,
  kCrashRequest,
  kCrashAnnounced,
  kFingerprintExpired,
  kLoopLate,
  kManyServices,
  kServiceWide,
  kServiceRecovered,
  kFloor,
  kOneLocation,
  kObserversAgree,
  kFleetEjection,
  kEjectionExpired,
  kLedgerUnconfirmed,
  kCapacityReusable,
  kHoldDownOver,
  kTrialPassed,
  kTrialFailed,
  kRampOver,
  kDraining,
  kDrainEnded,
  kAdded,
  kReturning,
  kSchedule,
};

// Values on which an action was decided. Only the values that contributed to
// the decision are set.
struct DecisionInputs {
  // Test statistics and the threshold that they are compared with, in nats.
  double outcome_score = 0;
  double latency_score = 0;
  double threshold = 0;
  // Share of failed requests at the service's other upstreams, 0 to 1.
  double base_rate = 0;
  // Typical latency of the service's other upstreams, in microseconds.
  double reference_latency_us = 0;
  // Slots of the service: all that are listed, those that remain in service,
  // and those that the floor requires.
  std::uint64_t listed_slots = 0;
  std::uint64_t remaining_slots = 0;
  std::uint64_t floor_slots = 0;
  // Numbers of daemons and of data centres that observe the fault.
  std::uint32_t observers = 0;
  std::uint32_t data_centres = 0;
  // Time that belongs to the decision, such as the hold-down or the lateness of
  // the event loop.
  base::Duration duration{};

  friend bool operator==(const DecisionInputs&,
                         const DecisionInputs&) = default;
};

// One decision with its reason and its inputs. The daemon logs one line for
// each action.
struct Action {
  ActionKind kind = ActionKind::kDiscardEvidence;
  Reason reason = Reason::kNone;
  base::UpstreamId upstream;
  std::uint64_t fingerprint = 0;
  DecisionInputs inputs;
  // Set for `kSendReport`.
  base::DaemonId peer;
  HealthReport report;
  // Set for `kWriteLedger` and `kSendLedger`.
  Ledger ledger;
};

using Actions = std::vector<Action>;

}  // namespace poplarfork::health
