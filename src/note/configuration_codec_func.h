#pragma once

#include <string>
#include <string_view>

#include "base/result_type.h"
#include "configuration.pb.h"
#include "note/configuration_type.h"

namespace poplarfork::note {

// Each of these functions returns a part of the configuration as a protobuf
// message.
proto::ServiceState EncodeService(const Service& service);
proto::RouteState EncodeRoute(const Route& route);
proto::RouteState EncodeWithdrawnRoute(const RouteKey& key,
                                       const base::ServiceId& service);
proto::AccountState EncodeAccount(const Account& account);

// Returns the whole configuration as a protobuf message.
proto::ConfigurationState EncodeConfiguration(
    const Configuration& configuration);

// Adds the services, routes and accounts in `state` to `configuration`, and
// replaces the configuration's revision and hash by those of `state`. A
// snapshot in several chunks is decoded with one call per chunk.
void DecodeStateInto(const proto::ConfigurationState& state,
                     Configuration& configuration);

// Returns the configuration as JSON with the field names of
// configuration.proto. 64-bit integers are written as JSON strings.
std::string ConfigurationToJson(const Configuration& configuration);

// Parses the output of ConfigurationToJson. The error for any other text is
// kMalformed.
base::Result<Configuration> ConfigurationFromJson(std::string_view json);

}  // namespace poplarfork::note
