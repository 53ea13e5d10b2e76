#include "gateway/configuration_driver.h"

#include <memory>
#include <utility>

#include "base/error_func.h"
#include "clock/now_func.h"
#include "gateway/account_driver.h"
#include "gateway/allowance_driver.h"
#include "gateway/http_servers.h"
#include "gateway/log_func.h"
#include "gateway/store_driver.h"
#include "metrics/registry_func.h"
#include "platform/configuration_func.h"
#include "upstream/whole_call.h"

namespace poplarfork::gateway {

namespace {

// Timeout of a request for the configuration to another daemon. The other
// daemon has the configuration in memory and responds quickly.
constexpr base::Duration kConfigurationFetchTimeout =
    std::chrono::milliseconds(700);
// Time within which the other daemon must begin its response. Otherwise the
// configuration is read from the store.
constexpr base::Duration kConfigurationAnswerTimeout =
    std::chrono::milliseconds(250);
constexpr std::size_t kMaxConfigurationBytes = 64 * 1024 * 1024;

fleet::ConfigurationVersion GetVersionInForce(const Gateway& gateway) {
  return gateway.configuration ? gateway.configuration->version
                               : fleet::ConfigurationVersion{};
}

// Returns how long ago this daemon first heard of the configuration that it has
// just put into force, as a log value. It is null if no other daemon has
// announced that configuration.
logging::Fields MillisecondsSinceAnnouncement(const Gateway& gateway) {
  const AnnouncedConfiguration& announced = gateway.announced_configuration;
  if (announced.version != gateway.configuration->version)
    return nullptr;
  return ToMilliseconds(clock::Now() - announced.first_heard_at);
}

// Applies the caller limits of the configuration in force to the server for
// callers.
void ApplyCallerLimits(Gateway& gateway) {
  const fleet::CallerLimits& configured = gateway.configuration->limits;
  edge::Limits limits = gateway.front_server->GetLimits();
  limits.max_header_bytes = configured.max_header_bytes;
  limits.max_body_bytes = configured.max_body_bytes;
  limits.header_timeout = configured.header_timeout;
  limits.idle_timeout = configured.idle_timeout;
  gateway.front_server->SetLimits(limits);
}

}  // namespace

bool InstallConfiguration(Gateway& gateway,
                          const std::string& text,
                          const char* source) {
  if (text == gateway.configuration_text)
    return false;
  auto parsed = platform::ParseConfiguration(text);
  if (!parsed) {
    Log(gateway, "configuration_unreadable",
        {{"source", source},
         {"error", base::ToString(parsed.error())},
         {"in_force", GetVersionInForce(gateway).value}});
    metrics::IncrementCounter(gateway.metrics,
                              "configurations_unreadable_total");
    return false;
  }
  const std::uint64_t previous_version = GetVersionInForce(gateway).value;
  if (parsed.value().version.value <= previous_version)
    return false;
  gateway.configuration =
      std::make_shared<const fleet::Configuration>(std::move(parsed.value()));
  gateway.configuration_text = text;
  ApplyCallerLimits(gateway);
  InstallAccountLimits(gateway);
  Log(gateway, "configuration_in_force",
      {{"version", gateway.configuration->version.value},
       {"previous", previous_version},
       {"hosts", gateway.configuration->routes_by_host.size()},
       {"services", gateway.configuration->services.size()},
       {"accounts", gateway.configuration->accounts.size()},
       {"source", source},
       {"announced_ms_ago", MillisecondsSinceAnnouncement(gateway)}});
  metrics::SetGauge(gateway.metrics, "configuration_version",
                    static_cast<double>(gateway.configuration->version.value));
  RenewAccounts(gateway);
  return true;
}

bool HasConfiguration(const Gateway& gateway,
                      fleet::ConfigurationVersion version) {
  return GetVersionInForce(gateway) >= version;
}

void OnConfigurationAnnounced(Gateway& gateway,
                              const base::DaemonId& from,
                              fleet::ConfigurationVersion version) {
  if (HasConfiguration(gateway, version))
    return;
  if (version > gateway.announced_configuration.version) {
    const base::TimePoint now = clock::Now();
    gateway.announced_configuration = {version, from, now};
    Log(gateway, "configuration_announced",
        {{"version", version.value},
         {"from", from.value},
         {"in_force", GetVersionInForce(gateway).value},
         {"fetching", gateway.fetching_configuration},
         {"view_age_ms",
          ToMilliseconds(now - gateway.freshness.confirmed_at)}});
  }
  FetchConfiguration(gateway, from);
}

void FetchLaterConfiguration(Gateway& gateway,
                             fleet::ConfigurationVersion wanted) {
  const AnnouncedConfiguration& announced = gateway.announced_configuration;
  if (announced.version > wanted &&
      !HasConfiguration(gateway, announced.version))
    FetchConfiguration(gateway, announced.from);
}

void FetchConfiguration(Gateway& gateway, const base::DaemonId& from) {
  if (gateway.fetching_configuration)
    return;
  const auto member = gateway.view.members.find(from);
  if (member == gateway.view.members.end() ||
      member->second.member.control_address.empty()) {
    ReadConfigurationFromStore(gateway);
    return;
  }
  gateway.fetching_configuration = true;
  upstream::CallOptions options;
  options.address = member->second.member.control_address;
  options.timeout = kConfigurationFetchTimeout;
  options.answer_timeout = kConfigurationAnswerTimeout;
  options.max_body_bytes = kMaxConfigurationBytes;
  auto request = std::make_shared<edge::HttpRequest>(
      boost::beast::http::verb::get, kConfigurationTarget, 11);
  request->set(boost::beast::http::field::host, options.address);
  upstream::StartCall(
      gateway.loop, gateway.control_pool, options, std::move(request),
      [&gateway, from, wanted = gateway.announced_configuration.version](
          const upstream::BufferedResponse& response) {
        gateway.fetching_configuration = false;
        if (response.IsComplete() && response.header.result_int() == 200) {
          InstallConfiguration(gateway, response.body, "peer");
          FetchLaterConfiguration(gateway, wanted);
          return;
        }
        Log(gateway, "configuration_not_fetched",
            {{"from", from.value},
             {"status",
              response.IsComplete() ? response.header.result_int() : 0},
             {"error", response.end.error.message()}});
        ReadConfigurationFromStore(gateway);
      });
}

}  // namespace poplarfork::gateway
