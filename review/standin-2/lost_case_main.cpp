// A gateway that is left alone goes on naming the lost ones to clients.

#include <exception>
#include <iostream>
#include <string>

#include <nlohmann/json.hpp>

#include "fleet.h"

namespace {

using review::Answer;
using review::Clock;
using review::Fleet;
using review::milliseconds;

constexpr milliseconds kLossAt(9000);
constexpr milliseconds kAskInterval(250);
constexpr milliseconds kEnd(24000);
// The bench counts answers from this time after the loss on.
constexpr milliseconds kLongOff(6000);

const char* const kConfiguration = R"({"version":7,
"routes":{"view":{"host":"shop.example","pathPrefix":"/view/",
"routeType":"idempotent","timeout":"4000ms","targetLatency":"1500ms",
"priority":0,"service":"views","maxAttempts":2}},
"services":{"views":{"healthPath":"/health","maxConnections":1590}},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,
"headerTimeout":"3000ms","idleTimeout":"15000ms"}})";

struct Case {
  explicit Case(Fleet& running_fleet) : fleet(running_fleet) {}

  Fleet& fleet;
  std::size_t left = 0;
  bool has_lost = false;
  Clock::time_point lost_at;
  int answers = 0;
  int late_answers = 0;
  int served = 0;
};

void OnAddresses(Case& run, const Answer& answer) {
  Fleet& fleet = run.fleet;
  if (answer.status != 200) {
    Record(fleet, "no addresses: " + std::to_string(answer.status));
    return;
  }
  ++run.answers;
  const auto json = nlohmann::json::parse(answer.body, nullptr, false);
  std::string named;
  bool names_lost = false;
  for (const auto& address : json["addresses"]) {
    const auto text = address.get<std::string>();
    for (std::size_t i = 0; i < fleet.gateways.size(); ++i) {
      if (text != fleet.gateways[i].ip + ":8161")
        continue;
      named += " " + fleet.gateways[i].name;
      names_lost |= run.has_lost && i != run.left;
    }
  }
  const bool is_late = names_lost && answer.sent_at - run.lost_at >= kLongOff;
  run.late_answers += is_late ? 1 : 0;
  Record(fleet, fleet.gateways[run.left].name + " names" + named +
                    (is_late ? " (long off)" : ""));
}

void AskForAddresses(Case& run) {
  review::ClientRequest request;
  request.target = "/resolve?name=shop.example&region=r&zone=a";
  request.attempt_id = review::NewAttemptId(run.fleet);
  request.deadline_ms = 1000;
  request.port = 8164;
  review::SendRequest(
      run.fleet, run.left, request,
      [&run](const Answer& answer) { OnAddresses(run, answer); });
  request.target = "/view/" + request.attempt_id + "?work_ms=50";
  request.deadline_ms = 4000;
  request.port = 8161;
  review::SendRequest(run.fleet, run.left, request,
                      [&run](const Answer& answer) {
                        run.served += answer.status == 200 ? 1 : 0;
                      });
  review::After(run.fleet, kAskInterval, [&run] { AskForAddresses(run); });
}

int RunCase(int argc, char** argv) {
  boost::asio::io_context loop(1);
  Fleet fleet(loop);
  review::ReadArguments(fleet, argc, argv);
  review::SetUp(fleet, 4);
  Case run(fleet);
  for (int i = 0; i < 4; ++i)
    review::AddBackend(fleet, "b-" + std::to_string(i), "views", 6);
  review::WriteConfiguration(fleet, kConfiguration);
  for (std::size_t i = 0; i < fleet.gateways.size(); ++i)
    review::StartGateway(fleet, i);
  review::After(fleet, milliseconds(4000), [&run] { AskForAddresses(run); });
  if (fleet.is_disturbed) {
    review::After(fleet, kLossAt, [&run] {
      run.has_lost = true;
      run.lost_at = Clock::now();
      for (std::size_t i = 0; i < run.fleet.gateways.size(); ++i) {
        if (i != run.left)
          review::LoseGateway(run.fleet, i);
      }
    });
  }
  review::RunFor(fleet, kEnd);
  Record(fleet, std::to_string(run.answers) + " answers with addresses, " +
                    std::to_string(run.late_answers) +
                    " of them with machines that had long been off; " +
                    std::to_string(run.served) + " requests served, " +
                    std::to_string(fleet.runs.size()) + " runs");
  if (run.answers < 40)
    return 2;
  return run.late_answers > 0 ? 1 : 0;
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
