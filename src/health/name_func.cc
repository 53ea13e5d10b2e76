#include "health/name_func.h"

#include <array>

namespace poplarfork::health {

namespace {

template <class Enum>
struct NameEntry {
  Enum value;
  std::string_view name;
};

constexpr std::array<NameEntry<ActionKind>, 20> kActionKindNames = {{
    {ActionKind::kAvoid, "avoid"},
    {ActionKind::kStartTrial, "trickle"},
    {ActionKind::kStartRamp, "ramp"},
    {ActionKind::kRestore, "restore"},
    {ActionKind::kApplyEjection, "apply_ejection"},
    {ActionKind::kDrain, "drain"},
    {ActionKind::kKeepForFloor, "keep_for_floor"},
    {ActionKind::kCloseConnections, "close_connections"},
    {ActionKind::kProbe, "probe"},
    {ActionKind::kRefuseFingerprint, "refuse_fingerprint"},
    {ActionKind::kAnnounceFingerprint, "announce_fingerprint"},
    {ActionKind::kAcceptFingerprint, "accept_fingerprint"},
    {ActionKind::kDiscardEvidence, "discard_evidence"},
    {ActionKind::kShedLoad, "shed_load"},
    {ActionKind::kEndShedLoad, "end_shed_load"},
    {ActionKind::kSendReport, "send_report"},
    {ActionKind::kReadLedger, "read_ledger"},
    {ActionKind::kWriteLedger, "write_ledger"},
    {ActionKind::kSendLedger, "send_ledger"},
    {ActionKind::kDeclineEjection, "decline_ejection"},
}};

constexpr std::array<NameEntry<Reason>, 29> kReasonNames = {{
    {Reason::kNone, "none"},
    {Reason::kFailures, "failures"},
    {Reason::kLatency, "latency"},
    {Reason::kConsecutiveFailures, "consecutive_failures"},
    {Reason::kSuccessRateDeviation, "success_rate_deviation"},
    {Reason::kConnectionSilent, "connection_silent"},
    {Reason::kCrashRequest, "crash_request"},
    {Reason::kCrashAnnounced, "crash_announced"},
    {Reason::kFingerprintExpired, "fingerprint_expired"},
    {Reason::kLoopLate, "loop_late"},
    {Reason::kManyServices, "many_services"},
    {Reason::kServiceWide, "service_wide"},
    {Reason::kServiceRecovered, "service_recovered"},
    {Reason::kFloor, "floor"},
    {Reason::kOneLocation, "one_location"},
    {Reason::kObserversAgree, "observers_agree"},
    {Reason::kFleetEjection, "fleet_ejection"},
    {Reason::kEjectionExpired, "ejection_expired"},
    {Reason::kLedgerUnconfirmed, "ledger_unconfirmed"},
    {Reason::kCapacityReusable, "capacity_reusable"},
    {Reason::kHoldDownOver, "hold_down_over"},
    {Reason::kTrialPassed, "trial_passed"},
    {Reason::kTrialFailed, "trial_failed"},
    {Reason::kRampOver, "ramp_over"},
    {Reason::kDraining, "draining"},
    {Reason::kDrainEnded, "drain_ended"},
    {Reason::kAdded, "added"},
    {Reason::kReturning, "returning"},
    {Reason::kSchedule, "schedule"},
}};

constexpr std::array<NameEntry<RequestOutcome>, 8> kRequestOutcomeNames = {{
    {RequestOutcome::kSuccess, "success"},
    {RequestOutcome::kFailure, "failure"},
    {RequestOutcome::kInvalidResponse, "wrong_answer"},
    {RequestOutcome::kConnectFailed, "connect_failed"},
    {RequestOutcome::kConnectionLost, "connection_lost"},
    {RequestOutcome::kTimeout, "timeout"},
    {RequestOutcome::kShed, "shed"},
    {RequestOutcome::kCancelled, "cancelled"},
}};

constexpr std::array<NameEntry<Phase>, 4> kPhaseNames = {{
    {Phase::kInService, "in_service"},
    {Phase::kAvoided, "avoided"},
    {Phase::kTrial, "trial"},
    {Phase::kRamp, "ramp"},
}};

constexpr std::array<NameEntry<EjectionCheck>, 3> kEjectionCheckNames = {{
    {EjectionCheck::kAllowed, "allowed"},
    {EjectionCheck::kAlreadyEjected, "already_ejected"},
    {EjectionCheck::kBelowFloor, "below_floor"},
}};

template <class Table, class Enum>
std::string_view FindName(const Table& table, Enum value) {
  for (const auto& entry : table) {
    if (entry.value == value)
      return entry.name;
  }
  return "unknown";
}

}  // namespace

std::string_view ToName(ActionKind kind) {
  return FindName(kActionKindNames, kind);
}

std::string_view ToName(Reason reason) {
  return FindName(kReasonNames, reason);
}

std::string_view ToName(RequestOutcome outcome) {
  return FindName(kRequestOutcomeNames, outcome);
}

std::string_view ToName(Phase phase) {
  return FindName(kPhaseNames, phase);
}

std::string_view ToName(EjectionCheck check) {
  return FindName(kEjectionCheckNames, check);
}

std::optional<RequestOutcome> ParseRequestOutcome(std::string_view name) {
  for (const auto& entry : kRequestOutcomeNames) {
    if (entry.name == name)
      return entry.value;
  }
  return std::nullopt;
}

}  // namespace poplarfork::health
