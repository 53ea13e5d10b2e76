// A gateway breaks off requests whose backends work for more than three
// seconds, also after SIGTERM, when it must finish them.

#include <csignal>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "fleet.h"

namespace {

using review::Answer;
using review::Clock;
using review::Fleet;
using review::milliseconds;
using review::Run;

constexpr milliseconds kStartTime(4000);
constexpr milliseconds kLongRequestsAt(14000);
constexpr milliseconds kTermAt(16500);
constexpr milliseconds kEnd(30000);
constexpr int kGraceS = 6;
constexpr int kTimeoutMs = 15000;
constexpr int kWorkMs = 1800;
constexpr int kLongWorkMs = 4500;
constexpr int kLongRequests = 6;

struct Sent {
  std::string attempt_id;
  std::size_t gateway = 0;
  int work_ms = 0;
  bool is_answered = false;
  Answer answer;
};

struct Case {
  explicit Case(Fleet& running_fleet) : fleet(running_fleet) {}

  Fleet& fleet;
  std::vector<Sent> sent;
  bool is_terminated = false;
  Clock::time_point terminated_at;
};

const char* const kConfiguration = R"({"version":7,
"routes":{"badge":{"host":"shop.example","pathPrefix":"/badge/",
"routeType":"idempotent","timeout":"15000ms","targetLatency":"12000ms",
"priority":2,"service":"badges","maxAttempts":2}},
"services":{"badges":{"healthPath":"/health","maxConnections":1590}},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,
"headerTimeout":"3000ms","idleTimeout":"15000ms"}})";

void Send(Case& run, std::size_t gateway, int work_ms) {
  review::ClientRequest request;
  request.attempt_id = review::NewAttemptId(run.fleet);
  request.target =
      "/badge/" + request.attempt_id + "?work_ms=" + std::to_string(work_ms);
  request.deadline_ms = 40000;
  const std::size_t index = run.sent.size();
  run.sent.push_back({request.attempt_id, gateway, work_ms, false, {}});
  run.sent.back().answer.sent_at = Clock::now();
  review::SendRequest(run.fleet, gateway, request,
                      [&run, index](const Answer& answer) {
                        run.sent[index].is_answered = true;
                        run.sent[index].answer = answer;
                      });
}

void SendSteadily(Case& run) {
  for (std::size_t gateway = 0; gateway < run.fleet.gateways.size();
       ++gateway) {
    if (gateway != 0 || !run.is_terminated)
      Send(run, gateway, kWorkMs);
  }
  review::After(run.fleet, milliseconds(200), [&run] { SendSteadily(run); });
}

// Writes what happened to a request and returns whether it was lost: the
// gateway gave an answer of its own, or none, while the backend was at work,
// and nothing excuses that.
bool CheckRequest(Case& run, const Sent& sent) {
  Fleet& fleet = run.fleet;
  std::string text =
      "request " + sent.attempt_id + " gateway-" +
      std::to_string(sent.gateway) + " work " + std::to_string(sent.work_ms) +
      " ms sent " + std::to_string(review::Seconds(fleet, sent.answer.sent_at));
  const auto last_sixth =
      run.terminated_at + milliseconds(kGraceS * 1000 * 5 / 6);
  bool was_broken_off = false;
  bool is_excused = false;
  for (const Run& backend_run : fleet.runs) {
    if (backend_run.attempt_id != sent.attempt_id)
      continue;
    text += "; run at " + backend_run.backend + " from " +
            std::to_string(review::Seconds(fleet, backend_run.started_at)) +
            (backend_run.is_at_work    ? " still at work"
             : backend_run.is_answered ? " answered "
                                       : " broken off ") +
            std::to_string(review::Seconds(fleet, backend_run.ended_at));
    was_broken_off |= !backend_run.is_at_work && !backend_run.is_answered;
    is_excused |=
        backend_run.is_at_work ||
        (!backend_run.is_answered && backend_run.ended_at >= last_sixth);
  }
  if (!sent.is_answered) {
    Record(fleet, text + "; not finished at the end of the case");
    return false;
  }
  const Answer& answer = sent.answer;
  text += "; answer " + std::to_string(answer.status) +
          (answer.is_signed ? " of the backend" : " of the gateway") +
          " after " +
          std::to_string(
              std::chrono::duration<double>(answer.ended_at - answer.sent_at)
                  .count()) +
          " s " + answer.body.substr(0, 60);
  const bool is_own = !answer.is_signed;
  const bool is_in_time =
      answer.ended_at - answer.sent_at < milliseconds(kTimeoutMs - 100);
  const bool is_around_term =
      run.is_terminated && sent.gateway == 0 &&
      answer.ended_at >= run.terminated_at &&
      answer.ended_at <=
          run.terminated_at + milliseconds(kGraceS * 1000 + 1000);
  const bool is_lost =
      is_own && was_broken_off && is_in_time && is_around_term && !is_excused;
  Record(fleet, text + (is_lost ? " LOST" : ""));
  return is_lost;
}

int RunCase(int argc, char** argv) {
  boost::asio::io_context loop(1);
  Fleet fleet(loop);
  review::ReadArguments(fleet, argc, argv);
  fleet.grace_s = kGraceS;
  review::SetUp(fleet, 3);
  Case run(fleet);
  for (int i = 0; i < 8; ++i)
    review::AddBackend(fleet, "b-" + std::to_string(i), "badges", 6);
  review::WriteConfiguration(fleet, kConfiguration);
  for (std::size_t i = 0; i < fleet.gateways.size(); ++i)
    review::StartGateway(fleet, i);
  review::After(fleet, kStartTime, [&run] { SendSteadily(run); });
  review::After(fleet, kLongRequestsAt, [&run] {
    for (int i = 0; i < kLongRequests; ++i)
      Send(run, 0, kLongWorkMs);
  });
  if (fleet.is_disturbed) {
    review::After(fleet, kTermAt, [&run] {
      run.is_terminated = true;
      run.terminated_at = Clock::now();
      review::SignalGateway(run.fleet, 0, SIGTERM);
    });
  }
  review::RunFor(fleet, kEnd);
  int lost = 0;
  int served = 0;
  int own = 0;
  for (const Sent& sent : run.sent) {
    lost += CheckRequest(run, sent) ? 1 : 0;
    served += sent.is_answered && sent.answer.status == 200 ? 1 : 0;
    own += sent.is_answered && !sent.answer.is_signed ? 1 : 0;
  }
  Record(fleet, "sent " + std::to_string(run.sent.size()) + ", served " +
                    std::to_string(served) + ", answered by the gateway " +
                    std::to_string(own) + ", lost around the stop " +
                    std::to_string(lost));
  if (served < static_cast<int>(run.sent.size()) / 2)
    return 2;
  return lost > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return RunCase(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
}
