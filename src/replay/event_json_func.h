#pragma once

#include <cpprest/json.h>

#include "base/result_type.h"
#include "health/event_type.h"
#include "note/service_type.h"

namespace poplarfork::replay {

// Convert an event to and from the JSON members of its trace line.
// `EventFromJson` fails with `kMalformed` for missing or malformed members, and
// with `kUnknownKey` for an event that does not exist.
web::json::value EventToJson(const health::Event& event);
base::Result<health::Event> EventFromJson(const web::json::value& json);

// Convert a service to and from JSON. `ServiceFromJson` throws
// `web::json::json_exception` for malformed JSON.
web::json::value ServiceToJson(const note::Service& service);
note::Service ServiceFromJson(const web::json::value& json);

// Convert a member of a daemon group to and from JSON. `MemberFromJson` throws
// `web::json::json_exception` for malformed JSON.
web::json::value MemberToJson(const health::GroupMember& member);
health::GroupMember MemberFromJson(const web::json::value& json);

}  // namespace poplarfork::replay
