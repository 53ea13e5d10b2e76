#include "note/configuration_codec_func.h"

#include <google/protobuf/util/json_util.h>

#include "base/error_func.h"
#include "note/policy_text_func.h"

namespace poplarfork::note {

namespace {

void EncodePolicy(const ServicePolicy& policy,
                  proto::ServicePolicyState& state) {
  const auto deadline =
      std::chrono::duration_cast<std::chrono::milliseconds>(policy.deadline);
  state.set_detection(DetectionPolicyName(policy.detection));
  state.set_urgency(UrgencyName(policy.urgency));
  state.set_floor(policy.floor);
  state.set_deadline_ms(static_cast<std::uint32_t>(deadline.count()));
  state.set_retry_ratio(policy.retry_ratio);
  state.set_max_in_flight(policy.max_in_flight);
  state.set_require_key(policy.require_key);
  state.set_resume_by_range(policy.resume_by_range);
}

ServicePolicy DecodePolicy(const proto::ServicePolicyState& state) {
  ServicePolicy policy;
  policy.detection = ParseDetectionPolicy(state.detection());
  policy.urgency = ParseUrgency(state.urgency());
  policy.floor = state.floor();
  policy.deadline = std::chrono::milliseconds(state.deadline_ms());
  policy.retry_ratio = state.retry_ratio();
  policy.max_in_flight = state.max_in_flight();
  policy.require_key = state.require_key();
  policy.resume_by_range = state.resume_by_range();
  return policy;
}

Upstream DecodeUpstream(const proto::UpstreamState& state) {
  Upstream upstream;
  upstream.id.value = state.name();
  upstream.address = state.address();
  upstream.data_centre.value = state.data_centre();
  upstream.slots = state.slots();
  upstream.max_connections = state.max_connections();
  return upstream;
}

Service DecodeService(const proto::ServiceState& state) {
  Service service;
  service.id.value = state.name();
  service.policy = DecodePolicy(state.policy());
  for (const proto::UpstreamState& upstream : state.upstreams())
    service.upstreams[{upstream.name()}] = DecodeUpstream(upstream);
  return service;
}

RouteKey DecodeRouteKey(const proto::RouteState& state) {
  return RouteKey{state.host(), state.path_prefix(), state.method()};
}

}  // namespace

proto::ServiceState EncodeService(const Service& service) {
  proto::ServiceState state;
  state.set_name(service.id.value);
  EncodePolicy(service.policy, *state.mutable_policy());
  for (const auto& [id, upstream] : service.upstreams) {
    proto::UpstreamState& upstream_state = *state.add_upstreams();
    upstream_state.set_name(id.value);
    upstream_state.set_address(upstream.address);
    upstream_state.set_data_centre(upstream.data_centre.value);
    upstream_state.set_slots(upstream.slots);
    upstream_state.set_max_connections(upstream.max_connections);
  }
  return state;
}

proto::RouteState EncodeRoute(const Route& route) {
  proto::RouteState state = EncodeWithdrawnRoute(route.key, route.service);
  state.set_repeatable(route.repeatable);
  return state;
}

proto::RouteState EncodeWithdrawnRoute(const RouteKey& key,
                                       const base::ServiceId& service) {
  proto::RouteState state;
  state.set_host(key.host);
  state.set_path_prefix(key.path_prefix);
  state.set_method(key.method);
  state.set_service(service.value);
  return state;
}

proto::AccountState EncodeAccount(const Account& account) {
  proto::AccountState state;
  state.set_name(account.id.value);
  state.set_rate(account.rate);
  state.set_burst(account.burst);
  return state;
}

proto::ConfigurationState EncodeConfiguration(
    const Configuration& configuration) {
  proto::ConfigurationState state;
  state.set_revision(configuration.revision.value);
  state.set_hash(configuration.hash);
  for (const auto& [id, service] : configuration.services)
    *state.add_services() = EncodeService(service);
  for (const auto& [key, route] : configuration.routes)
    *state.add_routes() = EncodeRoute(route);
  for (const auto& [id, account] : configuration.accounts)
    *state.add_accounts() = EncodeAccount(account);
  for (const auto& [key, service] : configuration.withdrawn_routes)
    *state.add_withdrawn_routes() = EncodeWithdrawnRoute(key, service);
  return state;
}

void DecodeStateInto(const proto::ConfigurationState& state,
                     Configuration& configuration) {
  configuration.revision.value = state.revision();
  configuration.hash = state.hash();
  for (const proto::ServiceState& service : state.services())
    configuration.services[{service.name()}] = DecodeService(service);
  for (const proto::RouteState& route : state.routes()) {
    const RouteKey key = DecodeRouteKey(route);
    configuration.routes[key] =
        Route{key, {route.service()}, route.repeatable()};
  }
  for (const proto::AccountState& account : state.accounts()) {
    configuration.accounts[{account.name()}] =
        Account{{account.name()}, account.rate(), account.burst()};
  }
  for (const proto::RouteState& route : state.withdrawn_routes())
    configuration.withdrawn_routes[DecodeRouteKey(route)] = {route.service()};
}

std::string ConfigurationToJson(const Configuration& configuration) {
  google::protobuf::util::JsonPrintOptions options;
  options.always_print_primitive_fields = true;
  options.preserve_proto_field_names = true;
  std::string json;
  const auto status = google::protobuf::util::MessageToJsonString(
      EncodeConfiguration(configuration), &json, options);
  return status.ok() ? json : std::string("{}");
}

base::Result<Configuration> ConfigurationFromJson(std::string_view json) {
  proto::ConfigurationState state;
  const auto status = google::protobuf::util::JsonStringToMessage(
      {json.data(), json.size()}, &state);
  if (!status.ok()) {
    return base::MakeError(base::ErrorCode::kMalformed,
                           base::Step::kCommandLine, "configuration",
                           std::string(status.message()));
  }
  Configuration configuration;
  DecodeStateInto(state, configuration);
  return configuration;
}

}  // namespace poplarfork::note
