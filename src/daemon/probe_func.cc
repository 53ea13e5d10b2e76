#include "daemon/probe_func.h"

#include <memory>
#include <utility>

#include "clock/now_func.h"
#include "daemon/health_func.h"
#include "daemon/service_runtime_func.h"
#include "upstream/exchange.h"

namespace poplarfork::daemon {

namespace {

namespace http = boost::beast::http;

// A probe takes about 25 ms; one that takes more than ten times as long has
// failed.
constexpr base::Duration kProbeTimeout = std::chrono::milliseconds(300);
constexpr char kProbePath[] = "/healthz";

struct Probe {
  base::ServiceId service;
  base::UpstreamId upstream;
  base::TimePoint started_at{};
  bool has_ok_status = false;
  std::shared_ptr<upstream::Exchange> exchange;
};

std::shared_ptr<const upstream::HttpRequest> MakeProbeRequest(
    const std::string& address) {
  auto probe_request =
      std::make_shared<upstream::HttpRequest>(http::verb::get, kProbePath, 11);
  probe_request->set(http::field::host, address);
  probe_request->set(http::field::connection, "close");
  return probe_request;
}

void OnProbeEnd(Daemon& daemon,
                const std::shared_ptr<Probe>& probe,
                const upstream::ExchangeEnd& end) {
  probe->exchange.reset();
  const auto found = daemon.services.find(probe->service);
  if (found == daemon.services.end())
    return;
  health::ProbeFinished finished;
  finished.upstream = probe->upstream;
  finished.passed =
      probe->has_ok_status && end.progress == upstream::Progress::kComplete;
  finished.latency = clock::Now() - probe->started_at;
  HandleHealthEvent(daemon, found->second, finished);
}

}  // namespace

void StartUpstreamProbe(Daemon& daemon,
                        const ServiceRuntime& service,
                        const base::UpstreamId& upstream) {
  const auto upstream_index = FindUpstreamIndex(service, upstream);
  if (!upstream_index)
    return;
  const std::string& address = service.upstreams[*upstream_index].address;
  auto probe = std::make_shared<Probe>();
  probe->service = service.id;
  probe->upstream = upstream;
  probe->started_at = clock::Now();
  upstream::ExchangeHandlers handlers;
  handlers.on_header = [probe](const upstream::HttpHeader& header) {
    probe->has_ok_status = header.result() == http::status::ok;
    probe->exchange->Resume();
  };
  handlers.on_body = [probe](std::string_view) { probe->exchange->Resume(); };
  handlers.on_end = [&daemon, probe](const upstream::ExchangeEnd& end) {
    OnProbeEnd(daemon, probe, end);
  };
  probe->exchange = std::make_shared<upstream::Exchange>(
      daemon.loop, daemon.upstream_pool, std::move(handlers));
  probe->exchange->Start(address, MakeProbeRequest(address),
                         upstream::ConnectionReuse::kForbidden, kProbeTimeout);
}

}  // namespace poplarfork::daemon
