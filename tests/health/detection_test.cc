#include <boost/test/unit_test.hpp>

#include "health_helper.h"

namespace poplarfork::health {

namespace {

constexpr base::Duration kSlowLatency = std::chrono::milliseconds(160);

TestDaemon MakeWarmDaemon() {
  TestDaemon daemon(MakeService(6, 1, 0.5));
  daemon.WarmUp();
  return daemon;
}

}  // namespace

// Guards against a detector that considers only failures: an upstream whose
// responses are good but slow must be avoided.
BOOST_AUTO_TEST_CASE(SlowUpstreamIsAvoided) {
  TestDaemon daemon = MakeWarmDaemon();
  for (int i = 0; i < 12 && daemon.IsRoutable(2); ++i) {
    daemon.SendRequest(2, RequestOutcome::kSuccess, kSlowLatency);
    daemon.SendRequest(3, RequestOutcome::kSuccess);
  }
  BOOST_TEST(daemon.HasAction(ActionKind::kAvoid, Reason::kLatency, 2));
  BOOST_TEST(!daemon.IsRoutable(2));
  BOOST_TEST(daemon.IsRoutable(3));
}

// Guards against partial failures that are masked by the successful requests
// between them.
BOOST_AUTO_TEST_CASE(PartiallyFailingUpstreamIsAvoided) {
  TestDaemon daemon = MakeWarmDaemon();
  for (int i = 0; i < 30 && daemon.IsRoutable(1); ++i) {
    const bool fails = i % 5 < 2;
    daemon.SendRequest(
        1, fails ? RequestOutcome::kInvalidResponse : RequestOutcome::kSuccess);
    daemon.SendRequest(4, RequestOutcome::kSuccess);
  }
  BOOST_TEST(daemon.HasAction(ActionKind::kAvoid, Reason::kFailures, 1));
}

// Guards against a detector that waits for the deadline: an upstream that does
// not respond must be avoided while its requests are still in flight.
BOOST_AUTO_TEST_CASE(HangingUpstreamIsAvoidedBeforeAnyRequestEnds) {
  TestDaemon daemon = MakeWarmDaemon();
  for (int i = 0; i < 4; ++i)
    daemon.StartRequest(5, false);
  daemon.AdvanceTime(std::chrono::milliseconds(600));
  BOOST_TEST(daemon.HasAction(ActionKind::kAvoid, Reason::kFailures, 5));
}

// Guards against attributing a dead pooled connection to the upstream. Such
// connections occur when a network device between the two ends has lost their
// state.
BOOST_AUTO_TEST_CASE(UnresponsiveConnectionDoesNotCountAgainstUpstream) {
  TestDaemon daemon = MakeWarmDaemon();
  for (int i = 0; i < 6; ++i)
    daemon.StartRequest(5, true);
  daemon.AdvanceTime(std::chrono::milliseconds(400));
  BOOST_TEST(daemon.CountActions(ActionKind::kCloseConnections) == 1U);
  BOOST_TEST(daemon.CountActions(ActionKind::kProbe) == 1U);
  daemon.DeliverEvent(ProbeFinished{MakeUpstreamId(5), true, kTypicalLatency});
  daemon.SendRequest(5, RequestOutcome::kSuccess);
  daemon.AdvanceTime(std::chrono::seconds(2));
  BOOST_TEST(daemon.CountActions(ActionKind::kAvoid) == 0U);
  BOOST_TEST(daemon.health.upstreams[5].detector_state.outcome_score == 0.0);
}

// Guards against a health endpoint that reports success while requests fail:
// passed probes must not offset requests on new connections that get no
// response.
BOOST_AUTO_TEST_CASE(PassedProbesDoNotOffsetUnresponsiveRequests) {
  TestDaemon daemon = MakeWarmDaemon();
  for (int i = 0; i < 5 && daemon.IsRoutable(5); ++i) {
    daemon.StartRequest(5, false);
    daemon.AdvanceTime(std::chrono::milliseconds(400));
    daemon.DeliverEvent(
        ProbeFinished{MakeUpstreamId(5), true, kTypicalLatency});
  }
  BOOST_TEST(daemon.HasAction(ActionKind::kAvoid, Reason::kFailures, 5));
}

// Guards against avoiding an upstream other than the idle one whose probes
// fail, and against keeping that idle upstream in service.
BOOST_AUTO_TEST_CASE(IdleUpstreamWithFailedProbesIsAvoided) {
  TestDaemon daemon = MakeWarmDaemon();
  for (int i = 0; i < 5; ++i)
    daemon.DeliverEvent(ProbeFinished{MakeUpstreamId(3), false, kSlowLatency});
  BOOST_TEST(daemon.HasAction(ActionKind::kAvoid, Reason::kFailures, 3));
  BOOST_TEST(daemon.CountActions(ActionKind::kAvoid) == 1U);
}

// Guards against avoiding upstreams because the whole service is overloaded.
BOOST_AUTO_TEST_CASE(OverloadShedsLoadInsteadOfAvoiding) {
  TestDaemon daemon = MakeWarmDaemon();
  for (int round = 0; round < 20; ++round) {
    for (std::uint32_t i = 0; i < 6; ++i) {
      const bool fails = (round + static_cast<int>(i)) % 3 == 0;
      daemon.SendRequest(
          i, fails ? RequestOutcome::kFailure : RequestOutcome::kSuccess,
          kSlowLatency / 4);
    }
    daemon.AdvanceTime(kTickInterval);
  }
  BOOST_TEST(daemon.CountActions(ActionKind::kAvoid) == 0U);
  BOOST_TEST(daemon.CountActions(ActionKind::kShedLoad) == 1U);
  for (int round = 0; round < 40; ++round) {
    for (std::uint32_t i = 0; i < 6; ++i)
      daemon.SendRequest(i, RequestOutcome::kSuccess);
    daemon.AdvanceTime(kTickInterval);
  }
  BOOST_TEST(daemon.CountActions(ActionKind::kEndShedLoad) == 1U);
}

// Guards against treating an unreachable data centre as an overload: its
// upstreams must be avoided and those of the other data centre must stay in
// service.
BOOST_AUTO_TEST_CASE(UpstreamsOfUnreachableDataCentreAreAvoided) {
  TestDaemon daemon(MakeService(8, 2, 0.5));
  daemon.WarmUp();
  for (int round = 0; round < 12; ++round) {
    for (std::uint32_t i = 0; i < 8; ++i) {
      if (i % 2 == 0)
        daemon.SendRequest(i, RequestOutcome::kSuccess);
      else if (daemon.IsRoutable(i))
        daemon.SendRequest(i, RequestOutcome::kConnectFailed);
    }
    daemon.AdvanceTime(kTickInterval);
  }
  BOOST_TEST(daemon.CountActions(ActionKind::kShedLoad) == 0U);
  for (std::uint32_t i = 0; i < 8; ++i)
    BOOST_TEST(daemon.IsRoutable(i) == (i % 2 == 0));
}

// Guards against a paused daemon that counts the effects of its own pause as
// failures of an upstream, whether the late events arrive before or after the
// late tick.
BOOST_AUTO_TEST_CASE(LateLoopDiscardsEvidence) {
  TestDaemon daemon = MakeWarmDaemon();
  std::vector<std::uint64_t> requests;
  requests.reserve(8);
  for (int i = 0; i < 8; ++i)
    requests.push_back(daemon.StartRequest(2, false));
  daemon.now += std::chrono::seconds(5);
  for (std::size_t i = 0; i < 4; ++i) {
    daemon.DeliverEvent(RequestFinished{requests[i], MakeUpstreamId(2),
                                        RequestOutcome::kTimeout,
                                        std::chrono::seconds(5), false, 0});
  }
  BOOST_TEST(!daemon.IsRoutable(2));
  daemon.DeliverEvent(Tick{std::chrono::seconds(5)});
  BOOST_TEST(daemon.IsRoutable(2));
  BOOST_TEST(daemon.HasAction(ActionKind::kRestore, Reason::kLoopLate, 2));
  for (std::size_t i = 4; i < 8; ++i) {
    daemon.DeliverEvent(RequestFinished{requests[i], MakeUpstreamId(2),
                                        RequestOutcome::kTimeout,
                                        std::chrono::seconds(5), false, 0});
  }
  daemon.AdvanceTime(std::chrono::seconds(1));
  BOOST_TEST(daemon.IsRoutable(2));
  BOOST_TEST(daemon.CountActions(ActionKind::kSendReport) == 0U);
}

// Guards against a daemon that counts its own network fault as evidence against
// the upstreams of several services.
BOOST_AUTO_TEST_CASE(EvidenceAgainstSeveralServicesIsDiscarded) {
  TestDaemon first = MakeWarmDaemon();
  TestDaemon second = MakeWarmDaemon();
  for (std::uint32_t i = 0; i < 6; ++i) {
    first.SendRequest(i, RequestOutcome::kConnectFailed);
    second.SendRequest(i, RequestOutcome::kConnectFailed);
  }
  BOOST_TEST(!IsObserverSuspect({&first.health}, first.now));
  BOOST_TEST(IsObserverSuspect({&first.health, &second.health}, first.now));
  first.DeliverEvent(ObserverSuspected{});
  for (const UpstreamState& upstream : first.health.upstreams)
    BOOST_TEST(upstream.detector_state.outcome_score == 0.0);
}

// Guards against one request that crashes every upstream: it must be refused
// after it crashed two upstreams, without evidence against them, until the
// refusal expires.
BOOST_AUTO_TEST_CASE(CrashRequestIsRefused) {
  constexpr Fingerprint kCrashFingerprint = 77;
  TestDaemon daemon = MakeWarmDaemon();
  daemon.SendRequest(1, RequestOutcome::kConnectionLost, kTypicalLatency, false,
                     kCrashFingerprint);
  BOOST_TEST(!IsRefused(daemon.health, kCrashFingerprint, daemon.now));
  daemon.SendRequest(2, RequestOutcome::kConnectionLost, kTypicalLatency, false,
                     kCrashFingerprint);
  BOOST_TEST(IsRefused(daemon.health, kCrashFingerprint, daemon.now));
  BOOST_TEST(daemon.CountActions(ActionKind::kAnnounceFingerprint) == 1U);
  BOOST_TEST(daemon.health.upstreams[1].detector_state.outcome_score == 0.0);
  BOOST_TEST(daemon.health.upstreams[2].detector_state.outcome_score == 0.0);
  daemon.now += std::chrono::minutes(10);
  daemon.AdvanceTime(kTickInterval);
  BOOST_TEST(!IsRefused(daemon.health, kCrashFingerprint, daemon.now));
  BOOST_TEST(daemon.CountActions(ActionKind::kAcceptFingerprint) == 1U);
}

// Guards against two daemons that each observe one crash of a repeated request
// and never learn of the crash that the other one observed.
BOOST_AUTO_TEST_CASE(CoordinatorCombinesLossesOfTwoDaemons) {
  TestDaemon daemon = MakeWarmDaemon();
  HealthReport report;
  report.service = daemon.health.service;
  report.observer = {"d1"};
  report.losses = {{99, MakeUpstreamId(1)}};
  daemon.DeliverEvent(ReportReceived{report});
  report.observer = {"d2"};
  report.losses = {{99, MakeUpstreamId(4)}};
  daemon.DeliverEvent(ReportReceived{report});
  BOOST_TEST(IsRefused(daemon.health, 99, daemon.now));
  BOOST_TEST(daemon.CountActions(ActionKind::kAnnounceFingerprint) == 1U);
}

// Guards against refusing a request that does not crash upstreams: one that was
// answered once, and one whose connections were lost because connections to
// most upstreams were lost.
BOOST_AUTO_TEST_CASE(RequestThatDoesNotCrashUpstreamsIsNotRefused) {
  TestDaemon daemon = MakeWarmDaemon();
  daemon.SendRequest(1, RequestOutcome::kConnectionLost, kTypicalLatency, false,
                     5);
  daemon.SendRequest(3, RequestOutcome::kSuccess, kTypicalLatency, false, 5);
  daemon.SendRequest(2, RequestOutcome::kConnectionLost, kTypicalLatency, false,
                     5);
  BOOST_TEST(!IsRefused(daemon.health, 5, daemon.now));
  for (std::uint32_t i = 0; i < 5; ++i)
    daemon.SendRequest(i, RequestOutcome::kConnectionLost, kTypicalLatency,
                       false, i);
  daemon.SendRequest(4, RequestOutcome::kConnectionLost, kTypicalLatency, false,
                     9);
  daemon.SendRequest(3, RequestOutcome::kConnectionLost, kTypicalLatency, false,
                     9);
  BOOST_TEST(!IsRefused(daemon.health, 9, daemon.now));
}

// Guards against cancelled and shed requests that count as evidence against an
// upstream.
BOOST_AUTO_TEST_CASE(CancelledAndShedRequestsAreNotCounted) {
  TestDaemon daemon = MakeWarmDaemon();
  for (int i = 0; i < 50; ++i) {
    daemon.SendRequest(1, RequestOutcome::kCancelled);
    daemon.SendRequest(1, RequestOutcome::kShed);
  }
  BOOST_TEST(daemon.CountActions(ActionKind::kAvoid) == 0U);
}

}  // namespace poplarfork::health
