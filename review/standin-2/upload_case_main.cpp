// Requests with bodies in chunks are all refused, so that a route that is added
// for them is never served.

#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "fleet.h"

namespace {

using review::Answer;
using review::Fleet;
using review::milliseconds;

constexpr milliseconds kStartTime(4000);
constexpr milliseconds kChangeAt(8000);
// configApply (2 s) and stabilityWindow (3 s) after the change.
constexpr milliseconds kSteadyAt(14000);
constexpr milliseconds kEnd(26000);
constexpr int kMinRequests = 20;

struct Sent {
  std::string attempt_id;
  bool is_added_route = false;
  bool is_answered = false;
  Answer answer;
};

struct Case {
  explicit Case(Fleet& running_fleet) : fleet(running_fleet) {}

  Fleet& fleet;
  std::vector<Sent> sent;
  bool is_steady = false;
};

std::string MakeRoute(const std::string& name, const std::string& prefix) {
  return "\"" + name + R"(":{"host":"shop.example","pathPrefix":")" + prefix +
         R"(","routeType":"non_idempotent","timeout":"6000ms",)"
         R"("targetLatency":"1500ms","priority":1,"service":"orders",)"
         R"("maxAttempts":2})";
}

std::string MakeConfiguration(int version, bool has_uploads) {
  return "{\"version\":" + std::to_string(version) + ",\"routes\":{" +
         MakeRoute("order", "/order/") +
         (has_uploads ? "," + MakeRoute("upload", "/upload/") : "") +
         R"(},"services":{"orders":{"healthPath":"/health",)"
         R"("maxConnections":1590}},"limits":{"maxHeaderBytes":16384,)"
         R"("maxBodyBytes":67108864,"headerTimeout":"3000ms",)"
         R"("idleTimeout":"15000ms"}})";
}

void Send(Case& run, std::size_t gateway, bool is_added_route) {
  review::ClientRequest request;
  request.attempt_id = review::NewAttemptId(run.fleet);
  request.method = "POST";
  request.target = std::string(is_added_route ? "/upload/" : "/order/") +
                   request.attempt_id + "?work_ms=100";
  request.body = "two prisms for " + request.attempt_id;
  request.is_chunked = is_added_route;
  request.deadline_ms = 12000;
  const std::size_t index = run.sent.size();
  run.sent.push_back({request.attempt_id, is_added_route, false, {}});
  review::SendRequest(run.fleet, gateway, request,
                      [&run, index](const Answer& answer) {
                        run.sent[index].is_answered = true;
                        run.sent[index].answer = answer;
                      });
}

void SendSteadily(Case& run, std::size_t next) {
  if (run.is_steady) {
    const std::size_t gateway = next % run.fleet.gateways.size();
    Send(run, gateway, false);
    Send(run, gateway, true);
  }
  review::After(run.fleet, milliseconds(200),
                [&run, next] { SendSteadily(run, next + 1); });
}

int RunCase(int argc, char** argv) {
  boost::asio::io_context loop(1);
  Fleet fleet(loop);
  review::ReadArguments(fleet, argc, argv);
  review::SetUp(fleet, 3);
  Case run(fleet);
  for (int i = 0; i < 6; ++i)
    review::AddBackend(fleet, "b-" + std::to_string(i), "orders", 6);
  // Without the disruption, both routes are among the first ones.
  review::WriteConfiguration(fleet, MakeConfiguration(7, !fleet.is_disturbed));
  for (std::size_t i = 0; i < fleet.gateways.size(); ++i)
    review::StartGateway(fleet, i);
  if (fleet.is_disturbed) {
    review::After(fleet, kChangeAt, [&fleet] {
      review::WriteConfiguration(fleet, MakeConfiguration(9, true));
      Record(fleet, "version 9 is acknowledged; it adds /upload/");
    });
  }
  review::After(fleet, kSteadyAt, [&run] { run.is_steady = true; });
  review::After(fleet, kStartTime, [&run] { SendSteadily(run, 0); });
  review::After(fleet, kEnd - milliseconds(3000),
                [&run] { run.is_steady = false; });
  review::RunFor(fleet, kEnd);
  int asked[2] = {0, 0};
  int served[2] = {0, 0};
  for (const Sent& sent : run.sent) {
    const int route = sent.is_added_route ? 1 : 0;
    ++asked[route];
    served[route] += sent.answer.status == 200 && sent.answer.is_signed ? 1 : 0;
    Record(fleet, std::string(route == 1 ? "/upload/ in chunks "
                                         : "/order/ with a length ") +
                      sent.attempt_id + " answer " +
                      std::to_string(sent.answer.status) + " " +
                      sent.answer.body.substr(0, 60));
  }
  for (const review::Run& backend_run : fleet.runs)
    Record(fleet, "run of " + backend_run.attempt_id + " at " +
                      backend_run.backend + " " + backend_run.path);
  Record(fleet, "/order/: " + std::to_string(served[0]) + " of " +
                    std::to_string(asked[0]) +
                    " served; /upload/: " + std::to_string(served[1]) + " of " +
                    std::to_string(asked[1]));
  if (asked[1] < kMinRequests || served[0] < asked[0] / 2)
    return 2;
  // The rule is about routes that were added later.
  const bool is_broken =
      fleet.is_disturbed && 4 * served[1] * asked[0] < served[0] * asked[1];
  return is_broken ? 1 : 0;
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
